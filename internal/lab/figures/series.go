package figures

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/pkg/importance"
)

// SampleInterval is the time between two points of a series.
const SampleInterval = 100 * time.Millisecond

// ImportanceLevels is the number of importance levels.
const ImportanceLevels = int(importance.Critical) + 1

// Series shows an experiment over time, in points of 100 ms from its start.
type Series struct {
	Goodput                          []float64                   // whole answers a second
	P99                              []float64                   // 99th percentile of the delays in ms; 0 if nothing was answered
	Refusals                         [ImportanceLevels][]float64 // refusals for overload a second, by importance of the request
	DisturbanceStart, DisturbanceEnd float64                     // seconds at which the disturbance began and ended
}

// newSeries collects the points of an experiment.
func newSeries(p PhaseTimes, h *history.History) Series {
	points := int(p.End.Sub(p.WarmUp)/SampleInterval) + 1
	s := Series{
		Goodput: make([]float64, points), P99: make([]float64, points),
		DisturbanceStart: p.Disturbance.Sub(p.WarmUp).Seconds(), DisturbanceEnd: p.Recovery.Sub(p.WarmUp).Seconds(),
	}
	s.addRequests(p.WarmUp, h.Requests())
	s.addRefusals(p.WarmUp, h)
	return s
}

func (s *Series) addRequests(start time.Time, requests []history.Request) {
	histograms := make([]*hdrhistogram.Histogram, len(s.P99))
	for _, r := range requests {
		i, ok := s.index(start, r.Finished)
		if !r.Complete() || !ok {
			continue
		}
		s.Goodput[i] += 1 / SampleInterval.Seconds()
		if histograms[i] == nil {
			histograms[i] = newHistogram()
		}
		record(histograms[i], r.Delay())
	}
	for i, h := range histograms {
		if h != nil {
			s.P99[i] = quantile(h, percent99)
		}
	}
}

func (s *Series) addRefusals(start time.Time, h *history.History) {
	for i := range s.Refusals {
		s.Refusals[i] = make([]float64, len(s.Goodput))
	}
	levels := h.Levels()
	for _, r := range h.Refusals() {
		level, known := levels[r.Root]
		if i, ok := s.index(start, r.At); ok && known {
			s.Refusals[level][i] += 1 / SampleInterval.Seconds()
		}
	}
}

// index returns the point for a time, or false if it lies outside.
func (s *Series) index(start, at time.Time) (int, bool) {
	i := int(at.Sub(start) / SampleInterval)
	return i, !at.Before(start) && i < len(s.Goodput)
}
