package rig

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Case is one run of a case: its record, whether the disruption is left out, and its processes.
type Case struct {
	Rec     *Record
	Trouble bool
	Fleet   *Fleet
	once    sync.Once
	over    atomic.Bool
}

// Over reports whether the run is being ended.
func (c *Case) Over() bool { return c.over.Load() }

// Begin opens the record of a case and prepares its fleet. The arguments are the program and the folder of the case.
func Begin(controls, gateways int) *Case {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM-OF-THE-CASE PETRELTIDE FOLDER")
		os.Exit(2)
	}
	rec, err := NewRecord(filepath.Join(os.Args[2], "record.txt"))
	c := &Case{Rec: rec, Trouble: os.Getenv("TROUBLE") != "0"}
	if err == nil {
		c.Fleet, err = NewFleet(os.Args[1], rec, controls, gateways)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec.Add("trouble: %t", c.Trouble)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		c.End(2, "stopped from outside")
	}()
	time.AfterFunc(115*time.Second, func() { c.End(2, "the case ran out of time") })
	return c
}

// Must ends the run as one that could not be made.
func (c *Case) Must(err error) {
	if err != nil {
		c.End(2, "could not run: %v", err)
	}
}

// End ends all processes and exits with a status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func (c *Case) End(status int, format string, args ...any) {
	c.once.Do(func() {
		c.over.Store(true)
		text := fmt.Sprintf(format, args...)
		c.Rec.Add("result %d: %s", status, text)
		c.Fleet.Stop()
		fmt.Println(text)
		os.Exit(status)
	})
	select {}
}
