// Package exposition writes metrics in the Prometheus text exposition format.
//
// Labels are part of the names in the registry: the metric
// "calls{kind=stream,status=200}" has the labels kind and status. Counters and
// meters get the suffix _total. Timers become summaries in seconds and get the
// suffix _seconds. Histograms and gauges get no suffix; their names must state
// their units.
package exposition

import (
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// namePrefix is the prefix of all exposed metric names.
const namePrefix = "sardineknot_"

// ContentType is the media type of the output of Write.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// quantiles returns the quantiles that summaries contain.
func quantiles() []float64 { return []float64{0.5, 0.95, 0.99} }

// Write writes the metrics of r to w, sorted by name and labels. It skips
// metrics of other types than counters, gauges, meters, timers and histograms.
func Write(w io.Writer, r metrics.Registry) error {
	m := make(map[string]*dto.MetricFamily)
	r.Each(func(n string, v any) { addMetric(m, n, v) })
	var l []*dto.MetricFamily
	for _, f := range m {
		slices.SortFunc(f.Metric, func(a, b *dto.Metric) int { return cmp.Compare(labelText(a), labelText(b)) })
		l = append(l, f)
	}
	slices.SortFunc(l, func(a, b *dto.MetricFamily) int { return cmp.Compare(a.GetName(), b.GetName()) })
	for _, f := range l {
		_, err := expfmt.MetricFamilyToText(w, f)
		if err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// addMetric adds metric, which is called n in the registry, to its family in m.
func addMetric(m map[string]*dto.MetricFamily, n string, metric any) {
	n, k := parseName(n)
	e := &dto.Metric{Label: k}
	t := dto.MetricType_GAUGE
	switch x := metric.(type) {
	case metrics.Counter:
		n, t = n+"_total", dto.MetricType_COUNTER
		e.Counter = &dto.Counter{Value: proto.Float64(float64(x.Count()))}
	case metrics.Gauge:
		e.Gauge = &dto.Gauge{Value: proto.Float64(float64(x.Value()))}
	case metrics.GaugeFloat64:
		e.Gauge = &dto.Gauge{Value: proto.Float64(x.Value())}
	case metrics.Meter:
		n, t = n+"_total", dto.MetricType_COUNTER
		e.Counter = &dto.Counter{Value: proto.Float64(float64(x.Count()))}
	case metrics.Timer:
		s := x.Snapshot()
		n, t = n+"_seconds", dto.MetricType_SUMMARY
		e.Summary = newSummary(s.Count(), s.Sum(), s.Percentiles(quantiles()), time.Second)
	case metrics.Histogram:
		s := x.Snapshot()
		t = dto.MetricType_SUMMARY
		e.Summary = newSummary(s.Count(), s.Sum(), s.Percentiles(quantiles()), 1)
	default:
		return
	}
	f := m[n]
	if f == nil {
		f = &dto.MetricFamily{Name: proto.String(n), Type: t.Enum()}
		m[n] = f
	}
	f.Metric = append(f.Metric, e)
}

// newSummary returns a summary of count samples with the given sum. values are
// the quantiles of the samples, in the order of quantiles. The sum and the
// values are divided by unit.
func newSummary(count, sum int64, values []float64, unit time.Duration) *dto.Summary {
	s := &dto.Summary{
		SampleCount: proto.Uint64(uint64(count)),
		SampleSum:   proto.Float64(float64(sum) / float64(unit)),
	}
	for i, q := range quantiles() {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: proto.Float64(q), Value: proto.Float64(values[i] / float64(unit))})
	}
	return s
}

// parseName returns the exposed name and the labels of the metric that is
// called n in the registry.
func parseName(n string) (string, []*dto.LabelPair) {
	n, k, _ := strings.Cut(strings.TrimSuffix(n, "}"), "{")
	n = namePrefix + strings.ReplaceAll(n, ".", "_")
	var l []*dto.LabelPair
	for p := range strings.SplitSeq(k, ",") {
		a, b, ok := strings.Cut(p, "=")
		if ok {
			l = append(l, &dto.LabelPair{Name: proto.String(a), Value: proto.String(b)})
		}
	}
	return n, l
}

// labelText returns the labels of m as a sort key.
func labelText(m *dto.Metric) string {
	var b strings.Builder
	for _, p := range m.Label {
		b.WriteString(p.GetName() + "=" + p.GetValue() + ",")
	}
	return b.String()
}
