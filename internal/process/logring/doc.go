// Package logring keeps the newest log lines in memory and writes them out only when something goes wrong, because every
// written line costs CPU time. Each daemon creates one ring and passes it to its host. The size of the dump folder is bounded,
// and if the disk accepts no writes, only the dump is lost.
package logring
