// Package clock reads the machine's boot-time clock and defines its units. Hosts read it once for each event and pass the
// time on; reducers take the time from their events and never read the clock.
package clock
