// Package experiment plays variants of the program on the same days and says how far they differ. A variant is the
// program with some of its mechanisms switched off; days are played by a Player, and compared in pairs of the same day
// and seed, so that what is hard about a day does not count.
package experiment
