package relay

import (
	"bufio"
	"net"
	"testing"
)

func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(c)
				for lines.Scan() {
					_, _ = c.Write([]byte(lines.Text() + "\n"))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// A cut way holds back what was sent until it is mended, other pairs and the other way go on.
func TestACutHoldsOneWayOfOnePair(t *testing.T) {
	s := New()
	defer s.Close()
	addr, err := s.Before("b", "127.9.0.2", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Before("a", "127.9.0.1", echo(t)); err != nil {
		t.Fatal(err)
	}
	dial := func(ip string) net.Conn {
		c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}).Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	say := func(c net.Conn, line string) {
		if _, err := c.Write([]byte(line + "\n")); err != nil {
			t.Fatal(err)
		}
	}
	a, other := dial("127.9.0.1"), dial("127.9.0.3")
	heard := make(chan string, 8)
	go func() {
		lines := bufio.NewScanner(a)
		for lines.Scan() {
			heard <- lines.Text()
		}
	}()
	say(a, "one")
	if got := <-heard; got != "one" {
		t.Fatal(got)
	}
	for _, way := range [][2]string{{"a", "b"}, {"b", "a"}} {
		s.Cut(way[0], way[1])
		say(a, "held")
		say(other, "free")
		if got, err := bufio.NewReader(other).ReadString('\n'); err != nil || got != "free\n" {
			t.Fatal(got, err)
		}
		for s.HeldBackCount(way[0], way[1]) == 0 {
		}
		select {
		case got := <-heard:
			t.Fatalf("%v: %q came through", way, got)
		default:
		}
		s.Restore(way[0], way[1])
		if got := <-heard; got != "held" {
			t.Fatal(got)
		}
	}
}
