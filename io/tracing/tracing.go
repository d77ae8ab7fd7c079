package tracing

import (
	"context"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"

	"savoryfall/core/annotate"
)

// Provider creates and exports spans. Without a destination no span is sampled.
type Provider struct {
	provider *trace.TracerProvider
	file     *os.File
}

// New exports spans to the OTLP URL, or appends them to the file if the URL is empty. If both are empty, spans are
// discarded.
func New(ctx context.Context, vm, otlpURL, file string) (t *Provider, err error) {
	defer annotate.Error(&err, "set up traces")
	t = &Provider{}
	options := []trace.TracerProviderOption{
		trace.WithResource(resource.NewSchemaless(attribute.String("service.name", "savoryfall"), attribute.String("vm", vm))),
	}
	switch {
	case otlpURL != "":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(otlpURL))
		if err != nil {
			return nil, err
		}
		options = append(options, trace.WithBatcher(exporter))
	case file != "":
		t.file, err = os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(t.file))
		if err != nil {
			return nil, err
		}
		options = append(options, trace.WithSyncer(exporter))
	default:
		options = append(options, trace.WithSampler(trace.NeverSample()))
	}
	t.provider = trace.NewTracerProvider(options...)
	return t, nil
}

// Tracer returns the tracer for spans of savoryfall.
func (t *Provider) Tracer() api.Tracer { return t.provider.Tracer("savoryfall") }

// Propagator returns a propagator that carries the trace context in the traceparent header.
func Propagator() propagation.TextMapPropagator { return propagation.TraceContext{} }

// Start does nothing; New has already set up the exporter.
func (t *Provider) Start(context.Context) error { return nil }

// Stop exports the remaining spans and closes the file.
func (t *Provider) Stop(ctx context.Context) (err error) {
	defer annotate.Error(&err, "stop traces")
	err = t.provider.Shutdown(ctx)
	if t.file != nil {
		_ = t.file.Close()
	}
	return err
}
