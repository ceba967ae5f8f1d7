// Package scaler turns arrival rates and offline latency tables into a number of replicas for each model, as
// SpotServe does. Package controller calls it before the policy. It never says which replica holds what.
package scaler
