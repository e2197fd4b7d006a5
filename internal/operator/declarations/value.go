package declarations

import (
	"fmt"
	"math"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"sardineknot.example/sardineknot/internal/configuration/codec"
	"sardineknot.example/sardineknot/internal/operator/hujson"
)

// valueType is the type of a parameter or field.
type valueType string

// The value types.
const (
	typeDuration valueType = "Duration"
	typeInteger  valueType = "Integer"
	typeShare    valueType = "Share"
	typeBoolean  valueType = "Boolean"
	typeName     valueType = "Name"
)

// value is the decoded value of a field or parameter: a time.Duration, int,
// float64, bool or string. It is nil if the field or parameter has no value.
type value any

// expected describes the values of type t, for use in the messages of problems.
// It returns the empty string if t is not one of the value types.
func (t valueType) expected() string {
	switch t {
	case typeDuration:
		return `a duration with a unit, as in "1.4s" or "34ms"`
	case typeInteger:
		return "an integer"
	case typeShare:
		return "a number above 0 and below 1"
	case typeBoolean:
		return "true or false"
	case typeName:
		return hujson.ExpectedName
	default:
		return ""
	}
}

// parse decodes raw. ok reports whether it is a value of type t.
func (t valueType) parse(raw jsontext.Value) (v value, ok bool) {
	switch t {
	case typeDuration:
		return unmarshal[time.Duration](raw)
	case typeInteger:
		return unmarshal[int](raw)
	case typeShare:
		f, ok := unmarshal[float64](raw)
		return f, ok && number(f) > 0 && number(f) < 1
	case typeBoolean:
		return unmarshal[bool](raw)
	case typeName:
		s, ok := unmarshal[string](raw)
		return s, ok && hujson.IsName(s.(string))
	default:
		return nil, false
	}
}

// ordered reports whether values of type t are ordered and thus can have bounds.
func (t valueType) ordered() bool {
	return t == typeDuration || t == typeInteger || t == typeShare
}

// unmarshal decodes raw into a T. ok is false if raw is null or not a valid T.
func unmarshal[T any](raw jsontext.Value) (v value, ok bool) {
	var t T
	err := json.Unmarshal(raw, &t, codec.Durations())
	return t, err == nil && raw.Kind() != 'n'
}

// number returns v as a float64 for comparisons. It returns NaN if the type of
// v has no order.
func number(v value) float64 {
	switch v := v.(type) {
	case time.Duration:
		return float64(v)
	case int:
		return float64(v)
	case float64:
		return v
	default:
		return math.NaN()
	}
}

// bounds is a range that includes both ends. A nil minimum or maximum means
// that the range is unbounded on that side.
type bounds struct {
	minimum, maximum value
}

// contains reports whether v is within the bounds.
func (b bounds) contains(v value) bool {
	return !(b.minimum != nil && number(v) < number(b.minimum)) &&
		!(b.maximum != nil && number(v) > number(b.maximum))
}

// String describes the values within the bounds, for use in the messages of
// problems. At least one end must be set.
func (b bounds) String() string {
	switch {
	case b.minimum != nil && b.maximum != nil:
		return fmt.Sprintf("%v to %v", b.minimum, b.maximum)
	case b.minimum != nil:
		return fmt.Sprintf("at least %v", b.minimum)
	default:
		return fmt.Sprintf("at most %v", b.maximum)
	}
}
