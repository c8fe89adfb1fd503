package detector_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/detector"
	"github.com/papayapath/papayapath/pkg/instance"
)

func id(i int) instance.ID {
	return instance.New(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000), 1)
}

// Guards against a target that no node probes, and against nodes that need
// connections to all others.
func TestPartnersCoverAllTargets(t *testing.T) {
	const nodes = 1000
	probed := make(map[instance.ID]int)
	for i := range nodes {
		d := detector.New(id(i), rand.New(rand.NewPCG(1, uint64(i))))
		for j := range nodes {
			if j != i {
				d.Add(id(j))
			}
		}
		now := time.Unix(1000, 0)
		for range 10 {
			now = now.Add(200 * time.Millisecond)
			d.Tick(now, nil)
		}
		partners := d.Partners()
		require.Len(t, partners, 32)
		for _, p := range partners {
			probed[p]++
		}
	}
	require.Len(t, probed, nodes)
}

// Guards against partners that are kept after they left, and against a small
// mesh in which some members are not probed.
func TestPartnersFollowTargets(t *testing.T) {
	d := detector.New(id(0), rand.New(rand.NewPCG(1, 1)), detector.WithPartners(4))
	for i := 1; i <= 3; i++ {
		d.Add(id(i))
	}
	require.ElementsMatch(t, []instance.ID{id(1), id(2), id(3)}, d.Partners())
	for i := 4; i <= 50; i++ {
		d.Add(id(i))
	}
	before := append([]instance.ID(nil), d.Partners()...)
	require.Len(t, before, 4)
	d.Remove(before[0])
	require.NotContains(t, d.Partners(), before[0])
	require.Len(t, d.Partners(), 4)
	require.Subset(t, d.Partners(), before[1:])
}
