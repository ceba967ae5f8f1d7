package crowd_test

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"petreltide/tests/platform/fleet"
)

// sampleInterval is the interval between two looks at what a process holds.
const sampleInterval = 50 * time.Millisecond

// usage is the most that a process has held. Unread is the sum of what has arrived at its sockets and is not yet read, in bytes; it
// counts toward the machine's memory.
type usage struct {
	residentBytes, unreadBytes int64
	descriptors                int
}

// sampler watches a process until stop.
type sampler struct {
	process fleet.Process
	most    usage
	ended   chan struct{}
	done    sync.WaitGroup
}

func watch(p fleet.Process) *sampler {
	s := &sampler{process: p, ended: make(chan struct{})}
	s.done.Go(func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			s.look()
			select {
			case <-s.ended:
				return
			case <-ticker.C:
			}
		}
	})
	return s
}

// stop ends the watch and returns the most that the process has held.
func (s *sampler) stop() usage {
	close(s.ended)
	s.done.Wait()
	s.look()
	return s.most
}

func (s *sampler) look() {
	s.most.residentBytes = max(s.most.residentBytes, peakResidentBytes(s.process.PID))
	s.most.unreadBytes = max(s.most.unreadBytes, unreadBytes(s.process.IP))
	if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.process.PID)); err == nil {
		s.most.descriptors = max(s.most.descriptors, len(open))
	}
}

// peakResidentBytes returns the most memory that a process has had, 0 if it has ended.
func peakResidentBytes(pid int) int64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kib, _ := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// unreadBytes returns the sum of what has arrived at the open connections of an IP and is not yet read.
func unreadBytes(ip string) int64 {
	const established, closeWait = "01", "08"
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer table.Close()
	local := kernelForm(ip)
	sum := int64(0)
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] != established && fields[3] != closeWait {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		sum += n
	}
	return sum
}

// kernelForm returns an IPv4 address as /proc/net/tcp writes it, on machines of little-endian order.
func kernelForm(ip string) string {
	v4 := net.ParseIP(ip).To4()
	return strings.ToUpper(hex.EncodeToString([]byte{v4[3], v4[2], v4[1], v4[0]})) + ":"
}

// folder returns a folder for the files of a fleet.
func folder(t *testing.T) string { return filepath.Join(t.TempDir(), "fleet") }
