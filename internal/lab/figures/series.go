package figures

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/pkg/importance"
)

// SampleInterval is the time between two points of a Series.
const SampleInterval = 100 * time.Millisecond

// ImportanceLevels is the number of importance levels.
const ImportanceLevels = int(importance.Critical) + 1

// Series is the time series of an experiment, with one point for each
// SampleInterval from its start.
type Series struct {
	Goodput                          []float64                   // complete responses per second
	P99                              []float64                   // 99th percentile of the latency in ms; 0 without responses
	Refusals                         [ImportanceLevels][]float64 // refusals for overload per second, by importance of the request
	DisturbanceStart, DisturbanceEnd float64                     // seconds from the start of the experiment
}

// newSeries computes the time series of an experiment.
func newSeries(phases PhaseTimes, h *history.History) Series {
	points := int(phases.End.Sub(phases.WarmUp)/SampleInterval) + 1
	s := Series{
		Goodput: make([]float64, points), P99: make([]float64, points),
		DisturbanceStart: phases.Disturbance.Sub(phases.WarmUp).Seconds(), DisturbanceEnd: phases.Recovery.Sub(phases.WarmUp).Seconds(),
	}
	s.addRequests(phases.WarmUp, h.Requests())
	s.addRefusals(phases.WarmUp, h)
	return s
}

func (s *Series) addRequests(start time.Time, requests []history.Request) {
	histograms := make([]*hdrhistogram.Histogram, len(s.P99))
	for _, r := range requests {
		i, ok := s.index(start, r.Completed)
		if !r.Complete() || !ok {
			continue
		}
		s.Goodput[i] += 1 / SampleInterval.Seconds()
		if histograms[i] == nil {
			histograms[i] = newHistogram()
		}
		recordLatency(histograms[i], r.Latency())
	}
	for i, h := range histograms {
		if h != nil {
			s.P99[i] = percentileMillis(h, percentile99)
		}
	}
}

func (s *Series) addRefusals(start time.Time, h *history.History) {
	for i := range s.Refusals {
		s.Refusals[i] = make([]float64, len(s.Goodput))
	}
	levels := h.Importances()
	for _, r := range h.Refusals() {
		level, known := levels[r.Root]
		if i, ok := s.index(start, r.At); ok && known {
			s.Refusals[level][i] += 1 / SampleInterval.Seconds()
		}
	}
}

// index returns the index of the point for a time, or false if the time is out
// of range.
func (s *Series) index(start, at time.Time) (int, bool) {
	i := int(at.Sub(start) / SampleInterval)
	return i, !at.Before(start) && i < len(s.Goodput)
}
