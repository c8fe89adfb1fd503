package trace

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// Names of span attributes.
const (
	attributeService  = "papayapath.service"
	attributeCustomer = "papayapath.customer"
	attributeAttempt  = "papayapath.attempt"
	attributeOutcome  = "papayapath.outcome"
	attributeReason   = "papayapath.reason"
	attributeNode     = "papayapath.node"
)

// Tracer makes the spans of one node. A Tracer without an exporter makes none
// and passes the context of its callers on.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
}

// New returns a tracer of the node called name that exports to exporter, or
// one that makes no spans if exporter is nil.
func New(name string, exporter sdk.SpanExporter) *Tracer {
	if exporter == nil {
		return &Tracer{}
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithResource(resource.NewSchemaless(attribute.String(attributeNode, name))),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer("papayapath")}
}

// NewOTLP returns a tracer that exports to the OTLP collector at url. It
// returns an *ExportError if url can't be used.
func NewOTLP(ctx context.Context, name, url string) (*Tracer, error) {
	if url == "" {
		return New(name, nil), nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(url))
	if err != nil {
		return nil, &ExportError{url: url, cause: err}
	}
	return New(name, exporter), nil
}

// Close exports what is left.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Start starts the span of one hop of o and puts its context into o, from
// where the next hop takes it. name is the kind of hop.
func (t *Tracer) Start(name string, o *message.Offer) *Span {
	if t.tracer == nil {
		return &Span{}
	}
	parent := trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: o.Trace.Trace, SpanID: o.Trace.Span, TraceFlags: trace.TraceFlags(o.Trace.Flags), Remote: true,
	})
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), parent)
	_, span := t.tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String(attributeService, o.Service),
		attribute.String(attributeCustomer, o.Customer),
		attribute.Int(attributeAttempt, o.Attempt),
	))
	own := span.SpanContext()
	o.Trace = message.Trace{Trace: own.TraceID(), Span: own.SpanID(), Flags: byte(own.TraceFlags())}
	return &Span{span: span}
}

// Parse returns the context that a Traceparent header field holds, or the
// zero Trace if it holds none.
func Parse(header string) message.Trace {
	if header == "" {
		return message.Trace{}
	}
	carrier := propagation.MapCarrier{"traceparent": header}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	own := trace.SpanContextFromContext(ctx)
	return message.Trace{Trace: own.TraceID(), Span: own.SpanID(), Flags: byte(own.TraceFlags())}
}

// Span is one hop of a call.
type Span struct{ span trace.Span }

// End ends the span with the outcome of the hop.
func (s *Span) End(o outcome.Outcome, r outcome.Reason) {
	if s == nil || s.span == nil {
		return
	}
	s.span.SetAttributes(
		attribute.String(attributeOutcome, o.String()),
		attribute.String(attributeReason, r.String()),
	)
	if o != outcome.Complete {
		s.span.SetStatus(codes.Error, r.String())
	}
	s.span.End()
}

// ExportError reports a collector to which spans can't be exported.
type ExportError struct {
	url   string
	cause error
}

// Error names the collector and the cause.
func (e *ExportError) Error() string { return fmt.Sprintf("export traces to %s: %v", e.url, e.cause) }

// Unwrap returns the cause.
func (e *ExportError) Unwrap() error { return e.cause }
