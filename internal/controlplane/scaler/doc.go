// Package scaler computes the number of replicas of each model from arrival rates and latency tables measured offline,
// as SpotServe does. Package controller calls it before it runs the placement policy. The scaler does not decide which
// replica holds which model.
package scaler
