package declarations

import (
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"sardineknot.example/sardineknot"
)

// field is a field of the work that a template declares.
type field struct {
	name string
	// kind is the type of its values.
	kind valueType
	// limits holds for every template.
	limits bounds
	// raw returns the field of a template's file.
	raw func(*templateWork) jsontext.Value
	// set sets the field of compiled work.
	set func(*sardineknot.Work, value)
}

// Limits that hold whatever a template says.
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

// fieldsOf returns the required, optional and refused fields of work of kind
// k.
func fieldsOf(k sardineknot.WorkKind) (required, optional, refused []field) {
	if k == sardineknot.WorkService {
		return []field{fieldService, fieldFirstToken, fieldObjective},
			[]field{fieldUnrepeatable, fieldPriority},
			[]field{fieldModel, fieldVersion, fieldPerToken, fieldMaxTokens}
	}
	return []field{fieldModel, fieldVersion, fieldFirstToken, fieldPerToken, fieldMaxTokens, fieldObjective},
		[]field{fieldPriority},
		[]field{fieldService, fieldUnrepeatable}
}
