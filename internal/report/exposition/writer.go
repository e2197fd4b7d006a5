// Package exposition writes metrics as text in the form that common scrapers
// read.
//
// A metric "calls{kind=stream,status=200}" of the registry has the labels kind
// and status. Counters are named with _total. Timers are summaries in seconds,
// named with _seconds; histograms and gauges keep their names, which say their
// units.
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

// prefix begins all names.
const prefix = "sardineknot_"

// ContentType is the type of the text.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// quantiles returns the quantiles of summaries.
func quantiles() []float64 { return []float64{0.5, 0.95, 0.99} }

// Write writes the metrics of r to w, in order of their names.
func Write(w io.Writer, r metrics.Registry) error {
	m := make(map[string]*dto.MetricFamily)
	r.Each(func(n string, v any) { add(m, n, v) })
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

// add adds the metric v, which the registry names n, to its family.
func add(m map[string]*dto.MetricFamily, n string, v any) {
	n, k := split(n)
	e := &dto.Metric{Label: k}
	t := dto.MetricType_GAUGE
	switch x := v.(type) {
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
		e.Summary = summary(s.Count(), s.Sum(), s.Percentiles(quantiles()), time.Second)
	case metrics.Histogram:
		s := x.Snapshot()
		t = dto.MetricType_SUMMARY
		e.Summary = summary(s.Count(), s.Sum(), s.Percentiles(quantiles()), 1)
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

// summary returns a summary in units of unit.
func summary(count, sum int64, values []float64, unit time.Duration) *dto.Summary {
	s := &dto.Summary{
		SampleCount: proto.Uint64(uint64(count)),
		SampleSum:   proto.Float64(float64(sum) / float64(unit)),
	}
	for i, q := range quantiles() {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: proto.Float64(q), Value: proto.Float64(values[i] / float64(unit))})
	}
	return s
}

// split returns the name and the labels in n.
func split(n string) (string, []*dto.LabelPair) {
	n, k, _ := strings.Cut(strings.TrimSuffix(n, "}"), "{")
	n = prefix + strings.ReplaceAll(n, ".", "_")
	var l []*dto.LabelPair
	for p := range strings.SplitSeq(k, ",") {
		a, b, ok := strings.Cut(p, "=")
		if ok {
			l = append(l, &dto.LabelPair{Name: proto.String(a), Value: proto.String(b)})
		}
	}
	return n, l
}

func labelText(m *dto.Metric) string {
	var b strings.Builder
	for _, p := range m.Label {
		b.WriteString(p.GetName() + "=" + p.GetValue() + ",")
	}
	return b.String()
}
