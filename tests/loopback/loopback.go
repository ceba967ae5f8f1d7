package loopback

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/juju/errors"
)

const (
	// Port is where servers listen that have no port of their own to listen on. Like claimPort it is below the ports
	// that the kernel gives to outgoing connections.
	Port = 7100
	// claimPort is bound at one address of a network for as long as somebody holds that network.
	claimPort = 7640

	firstNetwork     = 16
	networks         = 200
	hostsOfSubnet    = 250
	subnetsOfNetwork = 250
)

// Network is 65,536 addresses of the loopback, 127.N.0.0/16, that no other holder of a network uses, in this process or
// in another one.
type Network struct {
	number int
	held   net.Listener
	mu     sync.Mutex
	given  int
}

// Claim takes a network until it is closed. The kernel lets go of it where the process ends without that.
func Claim() (*Network, error) {
	var last error
	for try := range networks {
		number := firstNetwork + (os.Getpid()+try)%networks
		n := &Network{number: number}
		if n.held, last = net.Listen("tcp4", net.JoinHostPort(n.Host(0, 249), strconv.Itoa(claimPort))); last == nil {
			return n, nil
		}
	}
	return nil, errors.Annotate(last, "every network of the loopback is taken")
}

// Number tells the networks that are held at one time apart.
func (n *Network) Number() int { return n.number }

// Host is the IP of a place in the network, for holders that lay it out themselves.
func (n *Network) Host(subnet, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.number, subnet, host)
}

// IP is an IP that was not given before.
func (n *Network) IP() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	given := n.given
	n.given++
	return n.Host(1+given/hostsOfSubnet%subnetsOfNetwork, 1+given%hostsOfSubnet)
}

// Addr is an address, IP and port, at an IP that was not given before.
func (n *Network) Addr() string { return net.JoinHostPort(n.IP(), strconv.Itoa(Port)) }

// Close lets go of the network. It may be called again.
func (n *Network) Close() { _ = n.held.Close() }
