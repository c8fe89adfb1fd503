package detector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/detector"
	"github.com/papayapath/papayapath/pkg/message"
)

const (
	interval = 200 * time.Millisecond
	tick     = 10 * time.Millisecond
)

// run advances a detector whose targets answer each probe after a delay, or not
// at all if it is zero. It returns the number of probes that failed.
func run(d *detector.Detector, from time.Time, lasting, delay time.Duration) int {
	type due struct {
		at  time.Time
		ack detector.Action
	}
	var answers []due
	failed := 0
	for now := from; now.Before(from.Add(lasting)); now = now.Add(tick) {
		for len(answers) > 0 && !now.Before(answers[0].at) {
			a := answers[0].ack
			d.Receive(now, a.Target, message.Control{Ack: &message.Ack{Seq: a.Seq, Target: a.Target}}, nil)
			answers = answers[1:]
		}
		actions, _ := d.Tick(now, nil)
		for _, a := range actions {
			switch {
			case a.Kind == detector.Fail:
				failed++
			case a.Kind == detector.Probe && delay > 0:
				answers = append(answers, due{at: now.Add(delay), ack: a})
			}
		}
	}
	return failed
}

// Guards against nodes that take all others for dead because their own machine
// is busy: a mesh that started beside other work never came up. Targets that
// answer within 500 ms, though the interval is 200 ms, are found alive.
func TestStrainStretchesTimes(t *testing.T) {
	start := time.Date(2026, time.January, 5, 8, 0, 0, 0, time.UTC)
	d := detector.New(id(0), rand.New(rand.NewPCG(1, 1)), detector.WithInterval(interval))
	for i := range 5 {
		d.Add(id(i + 1))
	}
	slow := 500 * time.Millisecond
	require.Positive(t, run(d, start, 3*time.Second, slow))
	require.Greater(t, d.Stretch(interval), slow)
	require.LessOrEqual(t, run(d, start.Add(3*time.Second), 20*time.Second, slow), 10)
	// Once the targets answer in time, the times go back to their settings.
	run(d, start.Add(23*time.Second), 40*time.Second, tick)
	require.Equal(t, interval, d.Stretch(interval))
	// Silent targets fail all the same.
	require.Greater(t, run(d, start.Add(63*time.Second), 20*time.Second, 0), 10)
}
