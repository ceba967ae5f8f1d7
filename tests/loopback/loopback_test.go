package loopback

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
)

func claim(t *testing.T) *Network {
	t.Helper()
	n, err := Claim()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

func TestNetworksThatAreHeldAtOnceDiffer(t *testing.T) {
	seen := map[int]bool{}
	for range 20 {
		n := claim(t)
		if seen[n.Number()] {
			t.Fatalf("network %d is held twice", n.Number())
		}
		seen[n.Number()] = true
	}
}

func TestANetworkThatIsLetGoCanBeTakenAgain(t *testing.T) {
	first := claim(t)
	first.Close()
	if again := claim(t); again.Number() != first.Number() {
		t.Errorf("network %d was let go, and %d taken", first.Number(), again.Number())
	}
}

func TestEachAddressIsGivenOnce(t *testing.T) {
	n := claim(t)
	seen := map[string]bool{}
	for range 3 * hostsOfSubnet {
		ip := n.IP()
		if parsed := net.ParseIP(ip); parsed == nil || !parsed.IsLoopback() || !strings.HasPrefix(ip, "127."+strconv.Itoa(n.Number())+".") {
			t.Fatalf("%s is not in network %d", ip, n.Number())
		}
		if seen[ip] {
			t.Fatalf("%s was given twice", ip)
		}
		seen[ip] = true
	}
}

// Between the choice of an address and its use others listen at the same port of other addresses, and connections that
// go out take any port of their range.
func TestAnAddressIsStillFreeOnceOthersHaveTakenPorts(t *testing.T) {
	n := claim(t)
	addr := n.Addr()
	other := claim(t)
	for _, ip := range []string{"127.0.0.1", other.IP()} {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(Port)))
		if err != nil {
			continue // Somebody listens there already, which serves as well.
		}
		defer l.Close()
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
}

func TestPortsAreOutsideThoseOfOutgoingConnections(t *testing.T) {
	raw, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip(err)
	}
	least, err := strconv.Atoi(strings.Fields(string(raw))[0])
	if err != nil {
		t.Fatal(err)
	}
	if Port >= least || claimPort >= least {
		t.Errorf("connections that go out take ports from %d on; %d and %d are among them", least, Port, claimPort)
	}
}
