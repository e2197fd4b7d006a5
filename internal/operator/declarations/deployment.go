package declarations

import (
	"slices"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/hujson"
)

const (
	// maxZones is the maximum number of availability zones of a deployment.
	maxZones = 64
	// maxDelay is the maximum one-way delay of a link.
	maxDelay = 10 * time.Second
	// maxBytesPerSecond is the maximum bandwidth of a link.
	maxBytesPerSecond = 1 << 50
)

// deployment is the content of deployment.jsonc.
type deployment struct {
	// Region is the name of the deployment's region.
	Region sardineknot.Region
	// Zones lists the availability zones without duplicates.
	Zones []sardineknot.AvailabilityZone
	// Links holds at most one link for each pair of zones. A link applies to
	// both directions.
	Links []sardineknot.Link
}

// readDeployment reads and checks the file deployment.jsonc.
func (d *directory) readDeployment() deployment {
	var v deployment
	o := d.openFile("deployment" + extension)
	o.Decode(&v)
	if o.Require("/Region") {
		o.CheckName("/Region", string(v.Region))
	}
	if !o.Require("/Zones") || len(v.Zones) > maxZones {
		o.Report("/Zones", "missing or too long", "1 to 64 zones")
		return v
	}
	for i, z := range v.Zones {
		p := hujson.Element("/Zones", i)
		o.CheckName(p, string(z))
		if slices.Contains(v.Zones[:i], z) {
			o.ReportValue(p, z, "each zone once")
		}
	}
	for i := range v.Links {
		checkLink(o, v, i)
	}
	return v
}

// checkLink checks the link at index in declared, and that no earlier link
// connects the same zones.
func checkLink(file *hujson.Document, declared deployment, index int) {
	p := hujson.Element("/Links", index)
	l := declared.Links[index]
	declared.checkZone(file, p.AppendToken("From"), l.From)
	declared.checkZone(file, p.AppendToken("To"), l.To)
	if l.Delay < 0 || l.Delay > maxDelay {
		file.ReportValue(p.AppendToken("Delay"), l.Delay, "0s to 10s")
	}
	if l.BytesPerSecond < 0 || l.BytesPerSecond > maxBytesPerSecond {
		file.ReportValue(p.AppendToken("BytesPerSecond"), l.BytesPerSecond, "0, which means unlimited, to 1125899906842624")
	}
	for _, m := range declared.Links[:index] {
		if m.From == l.From && m.To == l.To || m.From == l.To && m.To == l.From {
			file.Report(p, "a second link between "+string(l.From)+" and "+string(l.To), "one link for each pair of zones")
		}
	}
}

// checkZone checks that file has a value at pointer, and that zone, its decoded
// form, is a zone of the deployment. If the deployment declares no zones, every
// zone is accepted.
func (v deployment) checkZone(file *hujson.Document, pointer jsontext.Pointer, zone sardineknot.AvailabilityZone) {
	if file.Require(pointer) && len(v.Zones) > 0 && !slices.Contains(v.Zones, zone) {
		file.ReportValue(pointer, zone, "one of Zones in deployment.jsonc")
	}
}
