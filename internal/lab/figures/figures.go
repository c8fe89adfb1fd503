package figures

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/papayapath/papayapath/internal/lab/checker"
	"github.com/papayapath/papayapath/internal/lab/history"
)

// Figures is the result of one experiment.
type Figures struct {
	Deployment string
	Variant    string
	Seed       uint64
	Limit      int     // requests a second that the slowed bottleneck can run, computed from slots and mean run time
	Requests   int     // customer requests that arrived
	Before     float64 // whole answers a second in the steady phase
	Goodput    float64 // whole answers a second in the disturbance
	After      float64 // whole answers a second in the recovery phase
	Share      float64 // Goodput divided by Limit
	// Recovery is the time in seconds from the end of the disturbance until
	// the goodput was back. If Recovered is false it is the whole time that
	// was watched, a lower bound.
	Recovery      float64
	Recovered     bool
	Amplification float64 // runs on backend servers per customer request; without retries and failures the depth of the chains
	Wasted        float64 // share of the runs whose customer request never got its whole answer
	Verdict       checker.Verdict
	Steady        Delays
	Disturbance   Delays
	Series        Series
}

// Delays are quantiles of the time from the arrival of a request to its whole
// answer, in milliseconds.
type Delays struct{ Median, P99 float64 }

// Subject says what an experiment was about.
type Subject struct {
	Deployment string
	Variant    string
	Seed       uint64
	Limit      int
}

// New computes the figures of an experiment that has ended.
func New(s Subject, p Phases, h *history.History) Figures {
	requests := h.Requests()
	f := Figures{
		Deployment: s.Deployment, Variant: s.Variant, Seed: s.Seed, Limit: s.Limit,
		Requests:    len(requests),
		Before:      goodput(requests, p.Steady, p.Disturbance),
		Goodput:     goodput(requests, p.Disturbance, p.Recovery),
		After:       goodput(requests, p.Recovery, p.End),
		Verdict:     checker.New(h),
		Steady:      delays(requests, p.Steady, p.Disturbance),
		Disturbance: delays(requests, p.Disturbance, p.Recovery),
		Series:      newSeries(p, h),
	}
	if s.Limit > 0 {
		f.Share = f.Goodput / float64(s.Limit)
	}
	if len(requests) > 0 {
		f.Amplification = float64(len(h.Runs())) / float64(len(requests))
	}
	f.Wasted = wasted(requests, h.Runs())
	f.Recovery, f.Recovered = recovery(requests, p)
	return f
}

// wasted returns the share of the runs whose customer request never got its
// whole answer.
func wasted(requests []history.Request, runs []history.Run) float64 {
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

// goodput returns the whole answers a second between two times. A request
// counts once, however often it was sent.
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
	// maxDelay is the longest delay that a histogram holds, in microseconds.
	maxDelay = int64(time.Minute / time.Microsecond)
	// digits is the number of significant digits of a histogram.
	digits = 3
	// percent99 and percent50 are quantiles in percent.
	percent99 = 99
	percent50 = 50
)

// delays returns quantiles for the answers between two times.
func delays(requests []history.Request, from, to time.Time) Delays {
	histogram := newHistogram()
	for _, r := range requests {
		if r.Complete() && !r.Completed.Before(from) && r.Completed.Before(to) {
			record(histogram, r.Latency())
		}
	}
	return Delays{Median: quantile(histogram, percent50), P99: quantile(histogram, percent99)}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxDelay, digits) }

// record adds a delay, shortened to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxDelay))
}

// quantile returns a quantile in milliseconds.
func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) * float64(time.Microsecond) / float64(time.Millisecond)
}
