package codec_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/codec"
)

func TestRoundTrip(t *testing.T) {
	for _, c := range []*sardineknot.Configuration{
		{},
		{
			Revision: 7,
			Contracts: []sardineknot.Contract{{Account: "a", RequestsPerSecond: 1.5, Burst: 2, Work: []sardineknot.Work{
				{Name: "x", Kind: sardineknot.WorkGeneration, Model: "m", Version: "1", FirstToken: 1400 * time.Millisecond, PerToken: 34 * time.Millisecond, Priority: -1, MaxTokens: 5, Objective: 0.95},
				{Name: "y", Kind: sardineknot.WorkService, Service: "s", Unrepeatable: true},
			}}},
			BackendServers: []sardineknot.BackendServer{{Name: "b", Address: netip.MustParseAddrPort("127.0.0.1:1"), ChecksFencing: true, State: sardineknot.BackendLeaving}},
			Links:          []sardineknot.Link{{From: "z", To: "z", Delay: time.Microsecond, BytesPerSecond: 3}},
		},
	} {
		i := is.New(t)
		b, err := codec.Encode(c)
		i.NoErr(err)
		d, err := codec.Decode(b)
		i.NoErr(err)
		i.Equal(d, c)
	}
}

// TestEncodeOmitsZero checks that unset fields are absent from the stored form.
// Hosts of an older version would reject a field that they do not know.
func TestEncodeOmitsZero(t *testing.T) {
	i := is.New(t)
	b, err := codec.Encode(&sardineknot.Configuration{Contracts: []sardineknot.Contract{{Account: "a"}}})
	i.NoErr(err)
	i.Equal(string(b), `{"Contracts":[{"Account":"a"}]}`)
}

func TestDecodeRejects(t *testing.T) {
	for _, s := range []string{
		``, `[]`, `{"Revisions": 1}`, `{"Revision": 1, "Revision": 2}`,
		`{"Links": [{"Delay": 5}]}`, `{"Links": [{"Delay": "5"}]}`,
		`{"BackendServers": [{"Address": "localhost:1"}]}`,
	} {
		_, err := codec.Decode([]byte(s))
		is.New(t).True(err != nil)
	}
}
