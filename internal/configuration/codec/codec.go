// Package codec encodes and decodes compiled configurations as JSON.
//
// Durations are encoded as strings such as "1.4s". Decoding is strict: unknown
// fields and duplicate names are errors.
package codec

import (
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// Durations returns the options that encode and decode time.Duration as text
// and reject unknown fields.
func Durations() json.Options {
	return json.JoinOptions(
		json.RejectUnknownMembers(true),
		json.WithMarshalers(json.MarshalToFunc(func(e *jsontext.Encoder, d time.Duration) error {
			return e.WriteToken(jsontext.String(d.String()))
		})),
		json.WithUnmarshalers(json.UnmarshalFromFunc(unmarshalDuration)),
	)
}

// Encode returns c as JSON. Zero fields are omitted, so that hosts of an older
// version, which do not know a new field, reject only configurations that use
// it.
func Encode(c *sardineknot.Configuration) ([]byte, error) {
	b, err := json.Marshal(c, Durations(), json.OmitZeroStructFields(true))
	return b, errors.WithStack(err)
}

// Decode returns the configuration encoded in b.
func Decode(b []byte) (*sardineknot.Configuration, error) {
	var c sardineknot.Configuration
	err := json.Unmarshal(b, &c, Durations())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &c, nil
}

func unmarshalDuration(d *jsontext.Decoder, p *time.Duration) error {
	v, err := d.ReadValue()
	if err != nil {
		return err
	}
	if v.Kind() != '"' {
		return invalidDuration(v.String())
	}
	s, err := jsontext.AppendUnquote(nil, v)
	if err != nil {
		return err
	}
	*p, err = time.ParseDuration(string(s))
	if err != nil {
		return invalidDuration(string(s))
	}
	return nil
}

func invalidDuration(got string) error {
	return errors.WithStack(&sardineknot.InvalidError{
		What:     "duration",
		Got:      got,
		Expected: `a duration with a unit, as in "1.4s" or "34ms"`,
	})
}
