package declarations

import (
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"sardineknot.example/sardineknot"
)

// field describes a field of work that templates can set.
type field struct {
	name string
	// kind is the type of the field's values.
	kind valueType
	// limits bounds the values in all templates and accounts.
	limits bounds
	// raw returns the undecoded value of the field in a template file. It
	// returns nil if the field is not set.
	raw func(*templateWork) jsontext.Value
	// set sets the field of compiled work. The value must be of the type kind.
	set func(*sardineknot.Work, value)
}

// The limits of fields, which templates cannot exceed.
const (
	maxFirstToken = time.Hour
	maxPerToken   = time.Minute
	maxMaxTokens  = 1000000
	maxPriority   = 1000
)

var (
	fieldModel = field{
		"Model", typeName,
		bounds{},
		func(t *templateWork) jsontext.Value { return t.Model },
		func(w *sardineknot.Work, v value) { w.Model = v.(string) },
	}
	fieldVersion = field{
		"Version", typeName,
		bounds{},
		func(t *templateWork) jsontext.Value { return t.Version },
		func(w *sardineknot.Work, v value) { w.Version = v.(string) },
	}
	fieldService = field{
		"Service", typeName,
		bounds{},
		func(t *templateWork) jsontext.Value { return t.Service },
		func(w *sardineknot.Work, v value) { w.Service = v.(string) },
	}
	fieldUnrepeatable = field{
		"Unrepeatable", typeBoolean,
		bounds{},
		func(t *templateWork) jsontext.Value { return t.Unrepeatable },
		func(w *sardineknot.Work, v value) { w.Unrepeatable = v.(bool) },
	}
	fieldFirstToken = field{
		"FirstToken", typeDuration,
		bounds{time.Millisecond, maxFirstToken},
		func(t *templateWork) jsontext.Value { return t.FirstToken },
		func(w *sardineknot.Work, v value) { w.FirstToken = v.(time.Duration) },
	}
	fieldPerToken = field{
		"PerToken", typeDuration,
		bounds{time.Millisecond, maxPerToken},
		func(t *templateWork) jsontext.Value { return t.PerToken },
		func(w *sardineknot.Work, v value) { w.PerToken = v.(time.Duration) },
	}
	fieldPriority = field{
		"Priority", typeInteger,
		bounds{-maxPriority, maxPriority},
		func(t *templateWork) jsontext.Value { return t.Priority },
		func(w *sardineknot.Work, v value) { w.Priority = v.(int) },
	}
	fieldMaxTokens = field{
		"MaxTokens", typeInteger,
		bounds{1, maxMaxTokens},
		func(t *templateWork) jsontext.Value { return t.MaxTokens },
		func(w *sardineknot.Work, v value) { w.MaxTokens = v.(int) },
	}
	fieldObjective = field{
		"Objective", typeShare,
		bounds{},
		func(t *templateWork) jsontext.Value { return t.Objective },
		func(w *sardineknot.Work, v value) { w.Objective = v.(float64) },
	}
)

// fieldsOf returns the required, optional and forbidden fields of work of the
// given kind.
func fieldsOf(kind sardineknot.WorkKind) (required, optional, forbidden []field) {
	if kind == sardineknot.WorkService {
		return []field{fieldService, fieldFirstToken, fieldObjective},
			[]field{fieldUnrepeatable, fieldPriority},
			[]field{fieldModel, fieldVersion, fieldPerToken, fieldMaxTokens}
	}
	return []field{fieldModel, fieldVersion, fieldFirstToken, fieldPerToken, fieldMaxTokens, fieldObjective},
		[]field{fieldPriority},
		[]field{fieldService, fieldUnrepeatable}
}
