// Command stage plays one case of the review. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in its environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"review/stand"
)

// cases are the cases by name. Each returns what broke the rule, or nothing.
var cases = map[string]func(f *stand.Fleet, trouble bool) ([]string, error){
	"route-name":   routeName,
	"route-rename": routeRename,
	"founding":     founding,
	"departure":    departure,
	"votes":        votes,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(run func(f *stand.Fleet, trouble bool) ([]string, error), program, path string) int {
	record, err := stand.OpenRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	f, err := stand.New(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		f.Stop()
		os.Exit(2)
	}()
	broken, err := run(f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range broken {
		record.Printf("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return 1
	}
	record.Printf("held")
	fmt.Println("held")
	return 0
}
