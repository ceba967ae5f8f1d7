// Package logring keeps the newest log lines in memory and writes them out only when something goes wrong, since
// every line written costs processor time. Daemons make one each and hand it to their host. Its folder never grows
// past a bound, and a disk that takes nothing costs no more than the dump.
package logring
