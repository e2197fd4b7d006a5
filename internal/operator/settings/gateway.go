package settings

import (
	"os"
	"path/filepath"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/hujson"
)

// LoadGateway reads the settings of an entry host on the users' platform, which
// is the platform on which `sardineknot gateway` runs, from the file at path.
// It fails with the same errors as Load.
func LoadGateway(path string) (sardineknot.GatewaySettings, error) {
	return read(hujson.Open(os.DirFS(filepath.Dir(path)), filepath.Base(path), path), checkGateway)
}

// ParseGateway returns the settings in content. name is the name of the file in
// the positions of problems. ParseGateway fails with the same errors as
// LoadGateway.
func ParseGateway(name string, content []byte) (sardineknot.GatewaySettings, error) {
	return read(hujson.Parse(name, content), checkGateway)
}

// checkGateway records the problems of s, the settings decoded from d, in d.
func checkGateway(d *hujson.Document, s sardineknot.GatewaySettings) {
	for _, f := range []string{"ID", "Zone", "CallerAddress", "ReadyAddress", "LookupAddress", "PeerAddress", "MetricsAddress", "Store"} {
		d.Require(fieldPointer(f))
	}
	checkGatewayNumbers(d, s)
	checkGatewayDurations(d, s)
}

// checkGatewayNumbers records the numbers of s that are negative in d.
func checkGatewayNumbers(d *hujson.Document, s sardineknot.GatewaySettings) {
	if s.RetryRatio < 0 || s.RetrySlack < 0 {
		d.ReportValue("/RetryRatio", s.RetryRatio, "RetryRatio and RetrySlack of at least 0")
	}
	if s.ProcessorShare < 0 || s.ProcessorSpeed < 0 {
		d.ReportValue("/ProcessorShare", s.ProcessorShare, "ProcessorShare and ProcessorSpeed of at least 0")
	}
	if s.MaxDescriptors < 0 {
		d.ReportValue("/MaxDescriptors", s.MaxDescriptors, "at least 0")
	}
	if s.LinkMegabits < 0 {
		d.ReportValue("/LinkMegabits", s.LinkMegabits, "at least 0")
	}
}

// checkGatewayDurations records the durations of s that are out of range in d.
func checkGatewayDurations(d *hujson.Document, s sardineknot.GatewaySettings) {
	if s.ConfigurationBound < 0 || s.ConfigurationBound > maxDuration {
		d.ReportValue("/ConfigurationBound", s.ConfigurationBound, "0s to 1h")
	}
	if s.LeavingBound < 0 || s.LeavingBound > maxDuration {
		d.ReportValue("/LeavingBound", s.LeavingBound, "0s to 1h")
	}
	if s.StopLimit < 0 || s.StopLimit > maxDuration {
		d.ReportValue("/StopLimit", s.StopLimit, "0s to 1h")
	}
}
