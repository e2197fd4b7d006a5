package declarations

import (
	"slices"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/hujson"
)

const (
	// maxZones bounds the availability zones of a deployment.
	maxZones = 64
	// maxDelay bounds the one-way delay of a link.
	maxDelay = 10 * time.Second
	// maxBytesPerSecond bounds the rate of a link.
	maxBytesPerSecond = 1 << 50
)

// deployment is the content of deployment.jsonc.
type deployment struct {
	// Region names the deployment.
	Region sardineknot.Region
	// Zones lists the availability zones, each once.
	Zones []sardineknot.AvailabilityZone
	// Links holds at most one entry for each unordered pair of zones.
	Links []sardineknot.Link
}

func (d *directory) readDeployment() deployment {
	var v deployment
	o := d.file("deployment" + extension)
	o.Decode(&v)
	if o.Require("/Region") {
		o.CheckName("/Region", string(v.Region))
	}
	if !o.Require("/Zones") || len(v.Zones) > maxZones {
		o.Problem("/Zones", "missing or too long", "1 to 64 zones")
		return v
	}
	for i, z := range v.Zones {
		p := hujson.Item("/Zones", i)
		o.CheckName(p, string(z))
		if slices.Contains(v.Zones[:i], z) {
			o.Value(p, z, "each zone once")
		}
	}
	for i := range v.Links {
		checkLink(o, v, i)
	}
	return v
}

func checkLink(o *hujson.Document, v deployment, i int) {
	p := hujson.Item("/Links", i)
	l := v.Links[i]
	v.checkZone(o, p.AppendToken("From"), l.From)
	v.checkZone(o, p.AppendToken("To"), l.To)
	if l.Delay < 0 || l.Delay > maxDelay {
		o.Value(p.AppendToken("Delay"), l.Delay, "0s to 10s")
	}
	if l.BytesPerSecond < 0 || l.BytesPerSecond > maxBytesPerSecond {
		o.Value(p.AppendToken("BytesPerSecond"), l.BytesPerSecond, "0, which means unlimited, to 1125899906842624")
	}
	for _, m := range v.Links[:i] {
		if m.From == l.From && m.To == l.To || m.From == l.To && m.To == l.From {
			o.Problem(p, "a second link between "+string(l.From)+" and "+string(l.To), "one link for each pair of zones")
		}
	}
}

// checkZone checks the zone z at p of any file.
func (v deployment) checkZone(o *hujson.Document, p jsontext.Pointer, z sardineknot.AvailabilityZone) {
	if o.Require(p) && len(v.Zones) > 0 && !slices.Contains(v.Zones, z) {
		o.Value(p, z, "one of Zones in deployment.jsonc")
	}
}
