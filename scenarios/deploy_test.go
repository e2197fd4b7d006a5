package scenarios

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// deployment is what the command deploy starts.
type deployment struct {
	entries, prefill, decode, plain int
	slots                           int
	interval, prefillTime, eviction time.Duration
	// storeTimeout bounds the entry hosts' calls to the store.
	storeTimeout time.Duration
	// extra is further text of the entry hosts' settings.
	extra string
	// relays puts a relay before every decode engine, plain service and the
	// platform.
	relays bool
	// idle leaves the entry hosts stopped.
	idle bool

	script *testscript.TestScript
}

// deploy [FLAGS] starts a platform, backend servers and entry hosts, and
// applies declarations with the account "verk" and its work trip-summary,
// trip-lookup and mileage-posting, which are left in the directory declarations
// for the script to change. It sets STORE, ENTRYn, PEERn, ADMINn,
// PREFILLn, DECODEn and PLAINn to addresses, and with -relays DECODEn_RELAY,
// PLAINn_RELAY and STORE_RELAY to the addresses that take the relays' faults.
// The processes are named platform, entry-n, prefill-n, decode-n and plain-n.
func deploy(t *testscript.TestScript, _ bool, a []string) {
	d := deployment{script: t}
	f := flag.NewFlagSet("deploy", flag.ContinueOnError)
	f.IntVar(&d.entries, "entries", 3, "")
	f.IntVar(&d.prefill, "prefill", 1, "")
	f.IntVar(&d.decode, "decode", 1, "")
	f.IntVar(&d.plain, "plain", 1, "")
	f.IntVar(&d.slots, "slots", 20, "")
	f.DurationVar(&d.interval, "interval", 5*time.Millisecond, "")
	f.DurationVar(&d.prefillTime, "prefill-time", time.Millisecond, "")
	f.DurationVar(&d.eviction, "eviction", 800*time.Millisecond, "")
	f.DurationVar(&d.storeTimeout, "store-timeout", time.Second, "")
	f.StringVar(&d.extra, "settings", "", "")
	f.BoolVar(&d.relays, "relays", false, "")
	f.BoolVar(&d.idle, "idle", false, "")
	t.Check(f.Parse(a))
	d.platform()
	d.backends()
	d.configure()
	for i := 1; i <= d.entries; i++ {
		d.entry(i)
	}
	for i := 1; i <= d.entries && !d.idle; i++ {
		n := fmt.Sprintf("entry-%d", i)
		start(t, false, []string{n, "sardineknot", "serve", "-settings", n + ".jsonc"})
	}
	for i := 1; i <= d.entries && !d.idle; i++ {
		await(t, false, []string{fmt.Sprintf("entry-%d.log", i), "configuration_in_force"})
	}
}

// address returns an address of the script's own network.
func (d *deployment) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.script.Getenv("NET"), host, port)
}

// run starts a stand-in and returns the address that others reach it at.
func (d *deployment) run(name, variable, address, relay string, a ...string) string {
	t := d.script
	start(t, false, append([]string{name, "standin", a[0], "-listen", address}, a[1:]...))
	t.Setenv(variable, address)
	await(t, false, []string{name + ".log", "127"})
	if relay == "" || !d.relays {
		return address
	}
	c := strings.Replace(relay, ":", ":1", 1)
	start(t, false, []string{name + "-relay", "standin", "relay", "-listen", relay, "-to", address, "-control", c})
	t.Setenv(variable+"_RELAY", c)
	await(t, false, []string{name + "-relay.log", "127"})
	return relay
}

func (d *deployment) platform() {
	a := d.run("platform", "STORE", d.address(1, 7000), d.address(2, 7000), "platform")
	d.script.Setenv("STORE_VIA", a)
	var l []string
	for i := 1; i <= d.entries; i++ {
		l = append(l, fmt.Sprintf(`{"targets": [%q], "labels": {"name": "entry-%d", "role": "entry", "zone": %q, "state": "live", "peer": %q}}`,
			d.address(10+i, 7400), i, zone(i), d.address(10+i, 7500)))
	}
	d.write("hosts.json", "["+strings.Join(l, ",\n")+"]\n")
	post(d.script, false, []string{d.address(1, 7000) + "/hosts", "hosts.json"})
}

func (d *deployment) backends() {
	var l []string
	for i := 1; i <= d.prefill; i++ {
		l = append(l, d.engine("prefill", "Prefill", i, 100+i, ""))
	}
	for i := 1; i <= d.decode; i++ {
		l = append(l, d.engine("decode", "Decode", i, 150+i, d.address(200+i, 7100)))
	}
	for i := 1; i <= d.plain; i++ {
		n := fmt.Sprintf("plain-%d", i)
		a := d.run(n, fmt.Sprintf("PLAIN%d", i), d.address(50+i, 7200), d.address(70+i, 7200), "plain", "-name", n)
		l = append(l, fmt.Sprintf(`{"Name": %q, "Address": %q, "Zone": %q, "Role": "Plain", "Service": "dagbok-app", "Slots": 20, "State": "Joining"}`, n, a, zone(i)))
	}
	d.script.Setenv("BACKENDS", strings.Join(l, ",\n    "))
}

// engine starts an engine and returns its entry in the configuration.
func (d *deployment) engine(kind, role string, i, host int, relay string) string {
	n := fmt.Sprintf("%s-%d", kind, i)
	a := d.run(n, fmt.Sprintf("%s%d", strings.ToUpper(kind), i), d.address(host, 7100), relay,
		"engine", "-name", n, "-model", "skyrsla-llm", "-version", "1", "-role", role, "-slots", fmt.Sprint(d.slots), "-interval", d.interval.String(),
		"-prefill", d.prefillTime.String(), "-eviction", d.eviction.String())
	return fmt.Sprintf(`{"Name": %q, "Address": %q, "Zone": %q, "Role": %q, "Model": "skyrsla-llm", "Version": "1", "Slots": %d, "State": "Joining"}`,
		n, a, zone(i), role, d.slots)
}

// configure applies the declarations, which it writes to the directory
// declarations.
func (d *deployment) configure() {
	for f, b := range declarations {
		d.write(filepath.Join("declarations", f), strings.Replace(b, "BACKENDS", d.script.Getenv("BACKENDS"), 1))
	}
	d.script.Check(d.script.Exec("sardineknot", "apply", "-store", d.address(1, 7000), "-declarations", "declarations", "-author", "deploy"))
}

func (d *deployment) entry(i int) {
	a := d.address(10+i, 7400)
	p := d.address(10+i, 7500)
	m := d.address(10+i, 7600)
	d.script.Setenv(fmt.Sprintf("ENTRY%d", i), a)
	d.script.Setenv(fmt.Sprintf("PEER%d", i), p)
	d.script.Setenv(fmt.Sprintf("ADMIN%d", i), m)
	d.write(fmt.Sprintf("entry-%d.jsonc", i), fmt.Sprintf(settings, i, zone(i), a, p, m, d.script.Getenv("STORE_VIA"), d.address(1, 7000), d.storeTimeout, d.extra))
}

func (d *deployment) write(name, text string) {
	d.script.Check(os.MkdirAll(filepath.Dir(d.script.MkAbs(name)), 0o755))
	d.script.Check(os.WriteFile(d.script.MkAbs(name), []byte(text), 0o644))
}

// zone returns the availability zone of the i-th host of a kind.
func zone(i int) string {
	return []string{"selfoss-d", "reykjavik-a", "akureyri-b", "egilsstadir-c"}[i%4]
}

const settings = `{
  "ID": "entry-%d", "Region": "is-land", "Zone": %q,
  "Zones": ["reykjavik-a", "akureyri-b", "egilsstadir-c", "selfoss-d"],
  "CallerAddress": %q, "PeerAddress": %q, "AdminAddress": %q,
  "Store": %q, "HostList": %q, "StoreTimeout": %q,
  "Heartbeat": "200ms", "LogLevel": "debug",
  %s
}
`

var declarations = map[string]string{
	"deployment.jsonc": `{
  "Region": "is-land",
  "Zones": ["reykjavik-a", "akureyri-b", "egilsstadir-c", "selfoss-d"],
}
`,
	"backends/all.jsonc": `{
  "BackendServers": [
    BACKENDS
  ],
}
`,
	"templates/mileage-posting.jsonc": `{
  "Name": "mileage-posting",
  "Work": {"Kind": "Service", "Service": "dagbok-app", "Unrepeatable": true, "FirstToken": "20s", "Objective": 0.95},
}
`,
	"templates/trip-lookup.jsonc": `{
  "Name": "trip-lookup",
  "Work": {"Kind": "Service", "Service": "dagbok-app", "FirstToken": "20s", "Objective": 0.95},
}
`,
	"templates/trip-summary.jsonc": `{
  "Name": "trip-summary",
  "Work": {
    "Kind": "Generation", "Model": "skyrsla-llm", "Version": "1",
    "FirstToken": "20s", "PerToken": "1s", "MaxTokens": 100000, "Objective": 0.95,
  },
}
`,
	"accounts/verk.jsonc": `{
  "Account": "verk",
  "Work": [{"Template": "mileage-posting"}, {"Template": "trip-lookup"}, {"Template": "trip-summary"}],
}
`,
}
