package figures

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/papayapath/papayapath/internal/lab/checker"
	"github.com/papayapath/papayapath/internal/lab/history"
)

// Result is the result of one experiment.
type Result struct {
	Deployment      string
	Variant         string
	Seed            uint64
	Limit           int     // capacity of the slowed bottleneck in requests per second, from its slots and mean run time
	Requests        int     // customer requests received
	SteadyGoodput   float64 // complete responses per second in the steady phase
	Goodput         float64 // complete responses per second during the disturbance
	RecoveryGoodput float64 // complete responses per second in the recovery phase
	LimitShare      float64 // Goodput as a fraction of Limit
	// Recovery is the time in seconds from the end of the disturbance until
	// goodput recovered. If Recovered is false, it is the observation time
	// and thus a lower bound.
	Recovery      float64
	Recovered     bool
	Amplification float64 // executions on backend servers per customer request; equals the depth of the call chain without retries and failures
	WastedShare   float64 // fraction of executions whose customer request got no complete response
	Verdict       checker.Verdict
	Steady        Latencies
	Disturbance   Latencies
	Series        Series
}

// Latencies are quantiles of the time from the arrival of a request to its
// complete response, in milliseconds.
type Latencies struct{ Median, P99 float64 }

// Parameters identifies an experiment.
type Parameters struct {
	Deployment string
	Variant    string
	Seed       uint64
	Limit      int
}

// New computes the result of a finished experiment.
func New(params Parameters, phases PhaseTimes, h *history.History) Result {
	requests := h.Requests()
	res := Result{
		Deployment: params.Deployment, Variant: params.Variant, Seed: params.Seed, Limit: params.Limit,
		Requests:        len(requests),
		SteadyGoodput:   goodput(requests, phases.Steady, phases.Disturbance),
		Goodput:         goodput(requests, phases.Disturbance, phases.Recovery),
		RecoveryGoodput: goodput(requests, phases.Recovery, phases.End),
		Verdict:         checker.New(h),
		Steady:          latencies(requests, phases.Steady, phases.Disturbance),
		Disturbance:     latencies(requests, phases.Disturbance, phases.Recovery),
		Series:          newSeries(phases, h),
	}
	if params.Limit > 0 {
		res.LimitShare = res.Goodput / float64(params.Limit)
	}
	if len(requests) > 0 {
		res.Amplification = float64(len(h.Runs())) / float64(len(requests))
	}
	res.WastedShare = wastedShare(requests, h.Runs())
	res.Recovery, res.Recovered = recovery(requests, phases)
	return res
}

// wastedShare returns the fraction of executions whose customer request got no
// complete response.
func wastedShare(requests []history.Request, runs []history.Run) float64 {
	complete := make(map[string]bool, len(requests))
	for _, r := range requests {
		complete[r.Root] = r.Complete()
	}
	count := 0
	for _, r := range runs {
		if !complete[r.Root] {
			count++
		}
	}
	if len(runs) == 0 {
		return 0
	}
	return float64(count) / float64(len(runs))
}

// goodput returns the complete responses per second in [from, to). A request
// counts once, regardless of the number of attempts.
func goodput(requests []history.Request, from, to time.Time) float64 {
	if !to.After(from) {
		return 0
	}
	count := 0
	for _, r := range requests {
		if r.Complete() && !r.Completed.Before(from) && r.Completed.Before(to) {
			count++
		}
	}
	return float64(count) / to.Sub(from).Seconds()
}

const (
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	sigFigs          = 3
	percentile99     = 99
	percentile50     = 50
)

// latencies returns the latency quantiles of the requests completed in
// [from, to).
func latencies(requests []history.Request, from, to time.Time) Latencies {
	histogram := newHistogram()
	for _, r := range requests {
		if r.Complete() && !r.Completed.Before(from) && r.Completed.Before(to) {
			recordLatency(histogram, r.Latency())
		}
	}
	return Latencies{Median: percentileMillis(histogram, percentile50), P99: percentileMillis(histogram, percentile99)}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, sigFigs) }

// recordLatency adds a latency, clamped to the range of the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatencyMicros))
}

// percentileMillis returns a percentile in milliseconds.
func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) * float64(time.Microsecond) / float64(time.Millisecond)
}
