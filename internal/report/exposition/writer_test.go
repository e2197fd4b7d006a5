package exposition_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot/internal/report/exposition"
)

func ExampleWrite() {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("calls{kind=stream,status=200}", r).Inc(3)
	metrics.GetOrRegisterGauge("backend.connections.idle", r).Update(2)
	err := exposition.Write(os.Stdout, r)
	if err != nil {
		panic(err)
	}
	// Output:
	// # TYPE sardineknot_backend_connections_idle gauge
	// sardineknot_backend_connections_idle 2
	// # TYPE sardineknot_calls_total counter
	// sardineknot_calls_total{kind="stream",status="200"} 3
}

func TestScrape(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("calls{kind=stream,status=200}", r).Inc(1)
	metrics.GetOrRegisterCounter("calls{kind=safe,status=503}", r).Inc(2)
	metrics.GetOrRegisterTimer("call{kind=safe}", r).Update(1500 * time.Millisecond)
	var b strings.Builder
	is.NoErr(exposition.Write(&b, r))
	p := expfmt.NewTextParser(model.UTF8Validation)
	f, err := p.TextToMetricFamilies(strings.NewReader(b.String()))
	is.NoErr(err)
	is.Equal(len(f["sardineknot_calls_total"].Metric), 2)
	is.Equal(f["sardineknot_call_seconds"].Metric[0].Summary.GetSampleSum(), 1.5)
}
