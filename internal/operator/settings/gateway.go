package settings

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/hujson"
)

// LoadGateway returns the settings of an entry host on the users' platform in
// the file at path. It fails as Load does.
func LoadGateway(path string) (sardineknot.GatewaySettings, error) {
	return gateway(hujson.Open(os.DirFS(filepath.Dir(path)), filepath.Base(path), path))
}

// ParseGateway returns the settings in b, which the file name holds. It fails as
// LoadGateway does.
func ParseGateway(name string, b []byte) (sardineknot.GatewaySettings, error) {
	return gateway(hujson.Parse(name, b))
}

func gateway(d *hujson.Document) (sardineknot.GatewaySettings, error) {
	var s sardineknot.GatewaySettings
	if d.Decode(&s) {
		checkGateway(d, s)
	}
	if !d.OK() {
		return sardineknot.GatewaySettings{}, errors.WithStack(sardineknot.NewInvalidFilesError(d.Problems()))
	}
	return s, nil
}

// checkGateway records what is wrong in the decoded settings s.
func checkGateway(d *hujson.Document, s sardineknot.GatewaySettings) {
	for _, f := range []string{"ID", "Zone", "CallerAddress", "ReadyAddress", "LookupAddress", "PeerAddress", "MetricsAddress", "Store"} {
		d.Require(pointer(f))
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 {
		d.Value("/RetryRatio", s.RetryRatio, "a ratio and a slack that are not negative")
	}
	if s.StopLimit < 0 || s.StopLimit > maxDuration {
		d.Value("/StopLimit", s.StopLimit, "at most one hour")
	}
}
