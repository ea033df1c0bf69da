// Package telemetry provides the structured logger and the metrics of the fleet's
// programs: NewLogger returns a logger, which usually writes to a Writer, and NewMetrics
// a registry. Histograms are labeled by team and class; to bound their number only the
// teams with the most values have histograms of their own, and all others share those
// with the label "rest".
package telemetry

import (
	"io"
	"log/slog"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// NewLogger returns a logger that writes each record to w as a JSON object on one line,
// with the process's name in the last field, process: collectors cut off long lines, and
// what decides comes first. Records below level info are dropped.
func NewLogger(w io.Writer, process string) *slog.Logger {
	return slog.New(&lineHandler{
		out:    w,
		suffix: appendAttr(nil, "", slog.String("process", process)),
	})
}

// Metrics is the registry of a program's metrics.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns an empty registry.
func NewMetrics() *Metrics {
	return &Metrics{
		set: metrics.NewSet(),
	}
}

// RegisterLog registers the numbers of lines, bytes and dropped lines of a log's writer.
func (m *Metrics) RegisterLog(w *Writer) {
	m.Gauge("log_lines_total", func() float64 { return float64(w.Lines()) })
	m.Gauge("log_bytes_total", func() float64 { return float64(w.Bytes()) })
	m.Gauge("log_lines_dropped_total", func() float64 { return float64(w.Dropped()) })
}

// Counter returns the counter with the given name, including labels. It is created on
// the first call.
func (m *Metrics) Counter(name string) *metrics.Counter { return m.set.GetOrCreateCounter(name) }

// Gauge registers a gauge whose value is the result of f at the time of a scrape.
func (m *Metrics) Gauge(name string, f func() float64) { m.set.GetOrCreateGauge(name, f) }

// Handler returns a handler that serves the metrics, including those of the process, in
// the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}
