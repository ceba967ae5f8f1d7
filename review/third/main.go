// The command third runs the stand-ins of review cases against real processes of the product.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
)

// verdict is how a case ended, as the exit status of its script.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	unrun  verdict = 2
)

func main() {
	trials := map[string]func(*lab) verdict{"wipe": wipe, "pair": pair, "garble": garble}
	if len(os.Args) != 4 || trials[os.Args[1]] == nil {
		fmt.Println("usage: third CASE FOLDER PROGRAM")
		os.Exit(int(unrun))
	}
	os.Exit(int(play(trials[os.Args[1]], os.Args[2], os.Args[3])))
}

func play(trial func(*lab) verdict, folder, program string) (result verdict) {
	l, err := newLab(folder, program)
	if err != nil {
		fmt.Println(err)
		return unrun
	}
	defer l.close()
	defer func() {
		if r := recover(); r != nil {
			l.note("could not run: %v\n%s", r, debug.Stack())
			result = unrun
		}
		l.note("result: %d (0 held, 1 broken, 2 could not run)", result)
	}()
	return trial(l)
}
