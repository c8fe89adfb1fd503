package shedding_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/shedding"
)

// Guards against a server that counts as shedding for a single request, and against one
// that counts so long after it has ceased to.
func TestRateFollowsTheServer(t *testing.T) {
	var m shedding.Meter
	m.Record(true)
	require.Zero(t, m.Rate())
	for i := range 400 {
		m.Record(i%2 == 0)
	}
	require.InDelta(t, 0.5, m.Rate(), 0.05)
	for range 60 {
		m.Record(false)
	}
	require.Zero(t, m.Rate())
}
