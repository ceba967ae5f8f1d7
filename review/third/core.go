package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// smallConfig returns a whole configuration with one route, whose time-out tells one version from another.
func smallConfig(version, timeoutMs int) string {
	return fmt.Sprintf(words["smallConfig"].(string), version, timeoutMs)
}

// found starts three control nodes and has two configurations taken; the version of the second is 5.
func (l *lab) found() []*node {
	cores := []*node{}
	for i, zone := range []string{"tartu-a", "tartu-b", "tartu-c"} {
		cores = append(cores, l.addNode("control-node", "core-"+zone, zone, 10+i))
	}
	for _, n := range cores {
		must(n.startProcess())
	}
	l.mustConfigure(0, 3, 4000, cores)
	l.mustConfigure(3, 5, 5000, cores)
	return cores
}

func (l *lab) mustConfigure(base uint64, version, timeoutMs int, nodes []*node) {
	l.mustConfigureText(base, smallConfig(version, timeoutMs), nodes)
}

func (l *lab) mustConfigureText(base uint64, text string, nodes []*node) {
	status, err := l.configure(word("replace"), base, text, nodes, 20*time.Second)
	must(err)
	if status != 200 {
		panic(fmt.Sprintf("the change on version %d is answered %d", base, status))
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// readBack waits until a machine that was lost has had the time of the pages, and then reads the configuration for readFor. It is
// broken if what is read is older than the newest acknowledged version, or if nothing comes.
func (l *lab) readBack(acknowledged uint64, nodes []*node, wait, readFor time.Duration) verdict {
	time.Sleep(wait)
	for end := time.Now().Add(readFor); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, n := range nodes {
			version, status, text := l.readVersion(n)
			if status == 200 {
				l.note("operator reads at %s: 200, version %d; acknowledged was %d", n.name, version, acknowledged)
				if version < acknowledged {
					l.note("BROKEN: it is older than what was acknowledged")
					return broken
				}
				return held
			}
			l.note("operator reads at %s: %d %.120s", n.name, status, text)
		}
	}
	l.note("BROKEN: version %d was acknowledged, and no node answers a read of the configuration", acknowledged)
	status, err := l.configure(word("replace"), acknowledged, smallConfig(int(acknowledged)+2, 6000), nodes, 5*time.Second)
	l.note("a further change: status %d, %v", status, err)
	return broken
}

// wipe kills two of three control nodes at once, and takes the disk of the third while the two are coming back.
func wipe(l *lab) verdict {
	cores := l.found()
	time.Sleep(5 * time.Second)
	if l.trouble {
		cores[1].kill()
		cores[2].kill()
		time.Sleep(500 * time.Millisecond)
		must(cores[1].startProcess())
		must(cores[2].startProcess())
		time.Sleep(600 * time.Millisecond)
		cores[0].loseDisk()
		time.Sleep(time.Second)
		must(cores[0].startProcess())
	}
	return l.readBack(5, cores, 15*time.Second, 15*time.Second)
}

// loseDisk kills a node and empties its disk.
func (n *node) loseDisk() {
	n.kill()
	must(os.RemoveAll(n.data()))
	n.lab.note("%s has lost its disk", n.name)
}

// pair adds a machine of the core, removes an old one for good, and takes the disk of the new one at the same moment.
func pair(l *lab) verdict {
	cores := l.found()
	time.Sleep(2 * time.Second)
	fresh := l.addNode("control-node", "core-tartu-c-2", "tartu-c", 13)
	fresh.first = false
	must(fresh.startProcess())
	time.Sleep(8 * time.Second)
	rest := []*node{cores[0], cores[1], fresh}
	l.mustConfigure(5, 7, 5500, rest)
	time.Sleep(time.Second)
	l.note("%s is removed for good", cores[2].name)
	cores[2].signal(syscall.SIGKILL)
	if l.trouble {
		fresh.loseDisk()
		time.Sleep(time.Second)
		must(fresh.startProcess())
	}
	return l.readBack(7, rest, 15*time.Second, 15*time.Second)
}
