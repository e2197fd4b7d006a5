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
	// maxDuration bounds every duration of the settings.
	maxDuration = time.Hour
	// maxZones bounds the availability zones of a deployment.
	maxZones = 64
)

// check records what is wrong in the decoded settings s.
func check(d *hujson.Document, s sardineknot.Settings) {
	requireFields(d)
	for _, f := range []struct{ field, name string }{
		{"ID", string(s.ID)}, {"Region", string(s.Region)}, {"Zone", string(s.Zone)},
	} {
		d.CheckName(pointer(f.field), f.name)
	}
	checkZones(d, s)
	checkAddresses(d, s)
	checkDurations(d, s)
	l := []string{"", "debug", "info", "warn", "error"}
	if !slices.Contains(l, s.LogLevel) {
		d.Value("/LogLevel", s.LogLevel, `"debug", "info", "warn" or "error"`)
	}
}

func requireFields(d *hujson.Document) {
	for _, f := range []string{"ID", "Region", "Zone", "Zones", "CallerAddress", "PeerAddress", "AdminAddress", "Store", "HostList"} {
		d.Require(pointer(f))
	}
}

func checkZones(d *hujson.Document, s sardineknot.Settings) {
	if len(s.Zones) > maxZones {
		d.Problem("/Zones", "longer than 64 zones", "at most 64 zones")
		return
	}
	for i, z := range s.Zones {
		p := hujson.Item("/Zones", i)
		d.CheckName(p, string(z))
		if slices.Contains(s.Zones[:i], z) {
			d.Value(p, z, "each zone once")
		}
	}
	if d.Has("/Zone") && d.Has("/Zones") && !slices.Contains(s.Zones, s.Zone) {
		d.Value("/Zone", s.Zone, "one of Zones")
	}
}

// checkAddresses checks that the host's own addresses differ from all others.
// Store and HostList may be served at one address.
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
	const own = 3
	for i, a := range l {
		d.CheckAddress(pointer(a.field), a.address)
		for j, b := range l[:min(i, own)] {
			if a.address.IsValid() && a.address == b.address {
				d.Value(pointer(l[i].field), a.address, "an address other than "+l[j].field)
			}
		}
	}
}

// checkDurations checks every field of type time.Duration.
func checkDurations(d *hujson.Document, s sardineknot.Settings) {
	v := reflect.ValueOf(s)
	for i := range v.NumField() {
		n, ok := v.Field(i).Interface().(time.Duration)
		if ok && (n < 0 || n > maxDuration) {
			d.Value(pointer(v.Type().Field(i).Name), n, "0s to 1h")
		}
	}
}

func pointer(field string) jsontext.Pointer {
	return jsontext.Pointer("/" + field)
}
