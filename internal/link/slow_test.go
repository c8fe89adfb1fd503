package link_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

const (
	// slowPath is the delay of each datagram: a handshake of one round trip
	// outlasts the 500 ms for which one caller waits.
	slowPath = 400 * time.Millisecond
	// maxUDP is the largest datagram that is relayed.
	maxUDP = 2 << 10
)

// relaySlowly passes datagrams between its clients and a node with a delay, and
// returns its own address.
func relaySlowly(t *testing.T, to netip.AddrPort) netip.AddrPort {
	t.Helper()
	front, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	back, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
	require.NoError(t, err)
	t.Cleanup(func() {
		front.Close()
		back.Close()
	})
	clients := make(chan netip.AddrPort, 1)
	go func() {
		for first := true; ; first = false {
			data := make([]byte, maxUDP)
			n, from, err := front.ReadFromUDPAddrPort(data)
			if err != nil {
				return
			}
			if first {
				clients <- from
			}
			time.AfterFunc(slowPath, func() { _, _ = back.Write(data[:n]) })
		}
	}()
	go func() {
		client := <-clients
		for {
			data := make([]byte, maxUDP)
			n, err := back.Read(data)
			if err != nil {
				return
			}
			time.AfterFunc(slowPath, func() { _, _ = front.WriteToUDPAddrPort(data[:n], client) })
		}
	}()
	return netip.MustParseAddrPort(front.LocalAddr().String())
}

// Guards against handshakes that are given up and begun again for ever: on a
// busy machine a mesh of nodes that start together never came up, because each
// handshake took longer than one caller waits, or was dropped when the other
// node was taken for failed meanwhile.
func TestSlowHandshakeGoesOn(t *testing.T) {
	a := newAuthority(t)
	client, _ := open(t, a, newHandler())
	_, node := open(t, a, newHandler())
	to := instance.New(relaySlowly(t, node.Address()), node.Incarnation())
	require.Error(t, client.Control(t.Context(), to, &message.Control{}), "the handshake is too quick for this test")
	client.Drop(to)
	require.Eventually(t, func() bool {
		return client.Control(t.Context(), to, &message.Control{}) == nil
	}, 10*time.Second, 10*time.Millisecond)
}
