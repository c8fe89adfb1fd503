package figures

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/pkg/importance"
)

// Step is the time between two points of a series.
const Step = 100 * time.Millisecond

// Levels is the number of importance levels.
const Levels = int(importance.Critical) + 1

// Series shows an experiment over time, in points of 100 ms from its start.
type Series struct {
	Goodput  []float64         // whole answers a second
	P99      []float64         // 99th percentile of the delays in ms; 0 if nothing was answered
	Refusals [Levels][]float64 // refusals for overload a second, by importance of the request
	From, To float64           // seconds at which the disturbance began and ended
}

// newSeries collects the points of an experiment.
func newSeries(p Phases, h *history.History) Series {
	points := int(p.End.Sub(p.Warm)/Step) + 1
	s := Series{
		Goodput: make([]float64, points), P99: make([]float64, points),
		From: p.Disturbance.Sub(p.Warm).Seconds(), To: p.Recovery.Sub(p.Warm).Seconds(),
	}
	s.addRequests(p.Warm, h.Requests())
	s.addRefusals(p.Warm, h)
	return s
}

func (s *Series) addRequests(start time.Time, requests []history.Request) {
	histograms := make([]*hdrhistogram.Histogram, len(s.P99))
	for _, r := range requests {
		i, ok := s.index(start, r.Completed)
		if !r.Complete() || !ok {
			continue
		}
		s.Goodput[i] += 1 / Step.Seconds()
		if histograms[i] == nil {
			histograms[i] = newHistogram()
		}
		record(histograms[i], r.Latency())
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
	levels := h.Importances()
	for _, r := range h.Refusals() {
		level, known := levels[r.Root]
		if i, ok := s.index(start, r.At); ok && known {
			s.Refusals[level][i] += 1 / Step.Seconds()
		}
	}
}

// index returns the point for a time, or false if it lies outside.
func (s *Series) index(start, at time.Time) (int, bool) {
	i := int(at.Sub(start) / Step)
	return i, !at.Before(start) && i < len(s.Goodput)
}
