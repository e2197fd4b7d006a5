// Package burn reports how fast client accounts consume their error budgets.
//
// The burn rate of a window is the fraction of bad requests divided by the
// fraction that the objective allows. At a burn rate of 1, the budget lasts
// exactly for its period. Work is marked as burning when the burn rates of both
// windows exceed the threshold, so that neither a short spike nor a past outage
// alone raises an alert. Source: Beyer et al., "The Site Reliability Workbook",
// chapter 5.
package burn

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"sardineknot.example/sardineknot"
)

// Threshold is the burn rate above which work is marked as burning. At this
// rate, a budget for 30 days is exhausted within about two days.
const Threshold = 14.4

// Report lists the burn rates of all work, sorted by account and work.
type Report struct {
	Rows []row
}

// row holds the numbers of requests and the burn rates of one class of work of
// one client account.
type row struct {
	Account   sardineknot.ClientAccountName
	Work      sardineknot.WorkName
	Objective float64
	Fast      sardineknot.BurnCount
	Slow      sardineknot.BurnCount
	// FastBurn and SlowBurn are burn rates.
	FastBurn float64
	SlowBurn float64
	// Burning reports whether both burn rates are above Threshold.
	Burning bool
}

// NewReport returns the report on windows, which come from several entry hosts.
// It adds up the numbers of requests for the same account and work.
func NewReport(windows []sardineknot.BurnWindows) Report {
	type key struct {
		account sardineknot.ClientAccountName
		work    sardineknot.WorkName
	}
	m := make(map[key]*row)
	for _, w := range windows {
		k := key{w.Account, w.Work}
		if m[k] == nil {
			m[k] = &row{Account: w.Account, Work: w.Work}
		}
		m[k].add(w)
	}
	var r Report
	for _, w := range m {
		w.setRates()
		r.Rows = append(r.Rows, *w)
	}
	slices.SortFunc(r.Rows, func(a, b row) int {
		return strings.Compare(string(a.Account)+"\x00"+string(a.Work), string(b.Account)+"\x00"+string(b.Work))
	})
	return r
}

// Burning reports whether any work is marked as burning.
func (r Report) Burning() bool {
	return slices.ContainsFunc(r.Rows, func(w row) bool { return w.Burning })
}

// WriteTable writes the report as a table to w.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ACCOUNT\tWORK\tOBJECTIVE\tFAST BAD/ALL\tFAST BURN\tSLOW BAD/ALL\tSLOW BURN\tBURNING")
	for _, v := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%.4g\t%d/%d\t%.2f\t%d/%d\t%.2f\t%t\n", v.Account, v.Work, v.Objective,
			v.Fast.Bad, v.Fast.Total, v.FastBurn, v.Slow.Bad, v.Slow.Total, v.SlowBurn, v.Burning)
	}
	return t.Flush()
}

// add adds the numbers of requests in w to those in r. If entry hosts have
// different objectives, the strictest one applies.
func (r *row) add(w sardineknot.BurnWindows) {
	r.Objective = max(r.Objective, w.Objective)
	r.Fast.Total += w.Fast.Total
	r.Fast.Bad += w.Fast.Bad
	r.Slow.Total += w.Slow.Total
	r.Slow.Bad += w.Slow.Bad
}

// setRates sets the burn rates and Burning of r from its numbers of requests.
func (r *row) setRates() {
	r.FastBurn = burnRate(r.Fast, r.Objective)
	r.SlowBurn = burnRate(r.Slow, r.Objective)
	r.Burning = r.FastBurn > Threshold && r.SlowBurn > Threshold
}

// burnRate returns the burn rate of the requests in count under objective. It
// returns zero if there are no requests or if the objective is not below 1.
func burnRate(count sardineknot.BurnCount, objective float64) float64 {
	if count.Total == 0 || objective >= 1 {
		return 0
	}
	return float64(count.Bad) / float64(count.Total) / (1 - objective)
}
