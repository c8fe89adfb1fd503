package trace_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/papayapath/papayapath/internal/trace"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// Guards against hops of one request that end up in different traces.
func TestHopsShareOneTrace(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	tracer := trace.New("node", exporter)
	o := &message.Offer{Service: "calendars", Attempt: 1}
	first := tracer.Start("call", o)
	outer := o.Trace
	require.Equal(t, outer, trace.Parse(o.Trace.String()))
	second := tracer.Start("run", o)
	second.End(outcome.NotRun, outcome.Overload)
	first.End(outcome.Complete, outcome.None)
	require.Equal(t, outer.Trace, o.Trace.Trace)
	require.NotEqual(t, outer.Span, o.Trace.Span)
	require.NoError(t, tracer.Close(t.Context()))
}

// Guards against a damaged header field being taken for a trace.
func TestParseOfDamagedHeader(t *testing.T) {
	for _, header := range []string{"", "x", "00-00-00-00", "00-zz"} {
		require.Equal(t, message.Trace{}, trace.Parse(header))
	}
}
