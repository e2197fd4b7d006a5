package settings

import (
	"net/netip"
	"reflect"
	"slices"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/hujson"
)

const (
	// maxDuration is the maximum of every duration in settings.
	maxDuration = time.Hour
	// maxZones is the maximum number of availability zones of a deployment.
	maxZones = 64
)

// check records the problems of s, the settings decoded from d, in d.
func check(d *hujson.Document, s sardineknot.Settings) {
	requireFields(d)
	for _, f := range []struct{ field, name string }{
		{"ID", string(s.ID)}, {"Region", string(s.Region)}, {"Zone", string(s.Zone)},
	} {
		d.CheckName(fieldPointer(f.field), f.name)
	}
	checkZones(d, s)
	checkAddresses(d, s)
	checkDurations(d, s)
	l := []string{"", "debug", "info", "warn", "error"}
	if !slices.Contains(l, s.LogLevel) {
		d.ReportValue("/LogLevel", s.LogLevel, `"debug", "info", "warn" or "error"`)
	}
}

func requireFields(d *hujson.Document) {
	for _, f := range []string{"ID", "Region", "Zone", "Zones", "CallerAddress", "PeerAddress", "AdminAddress", "Store", "HostList"} {
		d.Require(fieldPointer(f))
	}
}

func checkZones(d *hujson.Document, s sardineknot.Settings) {
	if len(s.Zones) > maxZones {
		d.Report("/Zones", "too long", "at most 64 zones")
		return
	}
	for i, z := range s.Zones {
		p := hujson.Element("/Zones", i)
		d.CheckName(p, string(z))
		if slices.Contains(s.Zones[:i], z) {
			d.ReportValue(p, z, "each zone once")
		}
	}
	if d.Has("/Zone") && d.Has("/Zones") && !slices.Contains(s.Zones, s.Zone) {
		d.ReportValue("/Zone", s.Zone, "one of Zones")
	}
}

// checkAddresses checks that every address is usable and that the three listen
// addresses of the host differ from all other addresses. Store and HostList may
// be the same address.
func checkAddresses(d *hujson.Document, s sardineknot.Settings) {
	l := []struct {
		field   string
		address netip.AddrPort
	}{
		{"CallerAddress", s.CallerAddress},
		{"PeerAddress", s.PeerAddress},
		{"AdminAddress", s.AdminAddress},
		{"Store", s.Store},
		{"HostList", s.HostList},
	}
	const listenAddresses = 3
	for i, a := range l {
		d.CheckAddress(fieldPointer(a.field), a.address)
		for j, b := range l[:min(i, listenAddresses)] {
			if a.address.IsValid() && a.address == b.address {
				d.ReportValue(fieldPointer(l[i].field), a.address, "an address other than "+l[j].field)
			}
		}
	}
}

// checkDurations checks that every field of type time.Duration is between zero
// and maxDuration.
func checkDurations(d *hujson.Document, s sardineknot.Settings) {
	v := reflect.ValueOf(s)
	for i := range v.NumField() {
		n, ok := v.Field(i).Interface().(time.Duration)
		if ok && (n < 0 || n > maxDuration) {
			d.ReportValue(fieldPointer(v.Type().Field(i).Name), n, "0s to 1h")
		}
	}
}

// fieldPointer returns the JSON pointer to a top-level field.
func fieldPointer(field string) jsontext.Pointer {
	return jsontext.Pointer("/" + field)
}
