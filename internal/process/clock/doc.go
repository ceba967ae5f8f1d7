// Package clock reads the machine's boot clock and names its units. Hosts call it once for each event and hand the
// time on; reducers take the time from their events and never read it here.
package clock
