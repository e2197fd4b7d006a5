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

// deployment describes the processes that the command deploy starts.
type deployment struct {
	// entryHosts, prefill, decode and plain are the numbers of entry hosts,
	// prefill engines, decode engines and plain services.
	entryHosts, prefill, decode, plain int
	// slots is the number of slots of each engine.
	slots int
	// interval is the time per generated token, prefillTime the time per
	// prompt token, and eviction the time after a prefill at which an engine
	// evicts unread KV cache blocks.
	interval, prefillTime, eviction time.Duration
	// storeTimeout is the time limit of the entry hosts' calls to the store.
	storeTimeout time.Duration
	// extraSettings is the text of additional members of the entry hosts'
	// settings.
	extraSettings string
	// relays puts a relay in front of each decode engine, each plain service
	// and the platform.
	relays bool
	// notStarted means that deploy does not start the entry hosts, so that the
	// script can start them later.
	notStarted bool

	script *testscript.TestScript
}

// deploy [FLAGS] starts a platform, backend servers and entry hosts. It applies
// declarations with the client account "verk" and its work trip-summary,
// trip-lookup and mileage-posting. The declarations remain in the directory
// declarations, where the command change edits them. The variables STORE,
// ENTRYn, PEERn, ADMINn, PREFILLn, DECODEn and PLAINn are set to the addresses
// of the processes. With -relays, DECODEn_RELAY, PLAINn_RELAY and STORE_RELAY
// are set to the addresses at which the faults of the relays are set. The
// processes are named platform, entry-n, prefill-n, decode-n and plain-n.
func deploy(t *testscript.TestScript, _ bool, args []string) {
	d := deployment{script: t}
	f := flag.NewFlagSet("deploy", flag.ContinueOnError)
	f.IntVar(&d.entryHosts, "entries", 3, "")
	f.IntVar(&d.prefill, "prefill", 1, "")
	f.IntVar(&d.decode, "decode", 1, "")
	f.IntVar(&d.plain, "plain", 1, "")
	f.IntVar(&d.slots, "slots", 20, "")
	f.DurationVar(&d.interval, "interval", 5*time.Millisecond, "")
	f.DurationVar(&d.prefillTime, "prefill-time", time.Millisecond, "")
	f.DurationVar(&d.eviction, "eviction", 800*time.Millisecond, "")
	f.DurationVar(&d.storeTimeout, "store-timeout", time.Second, "")
	f.StringVar(&d.extraSettings, "settings", "", "")
	f.BoolVar(&d.relays, "relays", false, "")
	f.BoolVar(&d.notStarted, "idle", false, "")
	t.Check(f.Parse(args))
	d.startPlatform()
	d.startBackends()
	d.applyDeclarations()
	for i := 1; i <= d.entryHosts; i++ {
		d.writeSettings(i)
	}
	for i := 1; i <= d.entryHosts && !d.notStarted; i++ {
		n := fmt.Sprintf("entry-%d", i)
		start(t, false, []string{n, "sardineknot", "serve", "-settings", n + ".jsonc"})
	}
	for i := 1; i <= d.entryHosts && !d.notStarted; i++ {
		await(t, false, []string{fmt.Sprintf("entry-%d.log", i), "configuration_in_force"})
	}
}

// address returns an address in the loopback network of the script. host is the
// last byte of the IP address.
func (d *deployment) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.script.Getenv("NET"), host, port)
}

// startStandin starts a stand-in that listens on address and returns the
// address at which entry hosts connect to it. args holds the kind of the
// stand-in and its further arguments. If d.relays is set and relay is not
// empty, startStandin also starts a relay that listens on relay, and returns
// relay; otherwise it returns address. It sets the given script variable to
// address, and the variable with the suffix _RELAY to the control address of
// the relay.
func (d *deployment) startStandin(name, variable, address, relay string, args ...string) string {
	t := d.script
	start(t, false, append([]string{name, "standin", args[0], "-listen", address}, args[1:]...))
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

// startPlatform starts the platform and publishes the list of entry hosts.
func (d *deployment) startPlatform() {
	a := d.startStandin("platform", "STORE", d.address(1, 7000), d.address(2, 7000), "platform")
	d.script.Setenv("STORE_VIA", a)
	var l []string
	for i := 1; i <= d.entryHosts; i++ {
		l = append(l, fmt.Sprintf(`{"targets": [%q], "labels": {"name": "entry-%d", "role": "entry", "zone": %q, "state": "live", "peer": %q}}`,
			d.address(10+i, 7400), i, zoneOf(i), d.address(10+i, 7500)))
	}
	d.writeFile("hosts.json", "["+strings.Join(l, ",\n")+"]\n")
	post(d.script, false, []string{d.address(1, 7000) + "/hosts", "hosts.json"})
}

// startBackends starts the backend servers and sets the variable BACKENDS to
// their entries in the declarations.
func (d *deployment) startBackends() {
	var l []string
	for i := 1; i <= d.prefill; i++ {
		l = append(l, d.startEngine("prefill", "Prefill", i, 100+i, ""))
	}
	for i := 1; i <= d.decode; i++ {
		l = append(l, d.startEngine("decode", "Decode", i, 150+i, d.address(200+i, 7100)))
	}
	for i := 1; i <= d.plain; i++ {
		n := fmt.Sprintf("plain-%d", i)
		a := d.startStandin(n, fmt.Sprintf("PLAIN%d", i), d.address(50+i, 7200), d.address(70+i, 7200), "plain", "-name", n)
		l = append(l, fmt.Sprintf(`{"Name": %q, "Address": %q, "Zone": %q, "Role": "Plain", "Service": "dagbok-app", "Slots": 20, "State": "Joining"}`, n, a, zoneOf(i)))
	}
	d.script.Setenv("BACKENDS", strings.Join(l, ",\n    "))
}

// startEngine starts the i-th engine of a kind, "prefill" or "decode", and
// returns its entry in the declarations. host is the last byte of its IP
// address; relay is passed to startStandin.
func (d *deployment) startEngine(kind, role string, i, host int, relay string) string {
	n := fmt.Sprintf("%s-%d", kind, i)
	a := d.startStandin(n, fmt.Sprintf("%s%d", strings.ToUpper(kind), i), d.address(host, 7100), relay,
		"engine", "-name", n, "-model", "skyrsla-llm", "-version", "1", "-role", role, "-slots", fmt.Sprint(d.slots), "-interval", d.interval.String(),
		"-prefill", d.prefillTime.String(), "-eviction", d.eviction.String())
	return fmt.Sprintf(`{"Name": %q, "Address": %q, "Zone": %q, "Role": %q, "Model": "skyrsla-llm", "Version": "1", "Slots": %d, "State": "Joining"}`,
		n, a, zoneOf(i), role, d.slots)
}

// applyDeclarations writes the declarations to the directory declarations and
// applies them.
func (d *deployment) applyDeclarations() {
	for f, b := range declarationFiles {
		d.writeFile(filepath.Join("declarations", f), strings.Replace(b, "BACKENDS", d.script.Getenv("BACKENDS"), 1))
	}
	d.script.Check(d.script.Exec("sardineknot", "apply", "-store", d.address(1, 7000), "-declarations", "declarations", "-author", "deploy"))
}

// writeSettings writes the settings of the i-th entry host and sets the
// variables of its addresses.
func (d *deployment) writeSettings(i int) {
	a := d.address(10+i, 7400)
	p := d.address(10+i, 7500)
	m := d.address(10+i, 7600)
	d.script.Setenv(fmt.Sprintf("ENTRY%d", i), a)
	d.script.Setenv(fmt.Sprintf("PEER%d", i), p)
	d.script.Setenv(fmt.Sprintf("ADMIN%d", i), m)
	d.writeFile(fmt.Sprintf("entry-%d.jsonc", i), fmt.Sprintf(settingsFormat, i, zoneOf(i), a, p, m, d.script.Getenv("STORE_VIA"), d.address(1, 7000), d.storeTimeout, d.extraSettings))
}

func (d *deployment) writeFile(name, text string) {
	d.script.Check(os.MkdirAll(filepath.Dir(d.script.MkAbs(name)), 0o755))
	d.script.Check(os.WriteFile(d.script.MkAbs(name), []byte(text), 0o644))
}

// zoneOf returns the availability zone of the i-th host of a kind. Consecutive
// hosts are in different zones.
func zoneOf(i int) string {
	return []string{"selfoss-d", "reykjavik-a", "akureyri-b", "egilsstadir-c"}[i%4]
}

const settingsFormat = `{
  "ID": "entry-%d", "Region": "is-land", "Zone": %q,
  "Zones": ["reykjavik-a", "akureyri-b", "egilsstadir-c", "selfoss-d"],
  "CallerAddress": %q, "PeerAddress": %q, "AdminAddress": %q,
  "Store": %q, "HostList": %q, "StoreTimeout": %q,
  "Heartbeat": "200ms", "LogLevel": "debug",
  %s
}
`

var declarationFiles = map[string]string{
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
