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

// valueType is the type of a parameter.
type valueType string

// The types of parameters.
const (
	typeDuration valueType = "Duration"
	typeInteger  valueType = "Integer"
	typeShare    valueType = "Share"
	typeBoolean  valueType = "Boolean"
	typeName     valueType = "Name"
)

// value is a decoded value: a time.Duration, int, float64, bool or string.
type value any

// expected says what values of type t look like, or returns the empty string
// if there is no such type.
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

// parse returns the value in b.
func (t valueType) parse(b jsontext.Value) (v value, ok bool) {
	switch t {
	case typeDuration:
		return unmarshal[time.Duration](b)
	case typeInteger:
		return unmarshal[int](b)
	case typeShare:
		f, ok := unmarshal[float64](b)
		return f, ok && number(f) > 0 && number(f) < 1
	case typeBoolean:
		return unmarshal[bool](b)
	case typeName:
		s, ok := unmarshal[string](b)
		return s, ok && hujson.IsName(s.(string))
	default:
		return nil, false
	}
}

// ordered reports whether values of type t have bounds.
func (t valueType) ordered() bool {
	return t == typeDuration || t == typeInteger || t == typeShare
}

func unmarshal[T any](b jsontext.Value) (v value, ok bool) {
	var t T
	err := json.Unmarshal(b, &t, codec.Durations())
	return t, err == nil && b.Kind() != 'n'
}

// number returns v as a number for comparisons, or NaN if it has no order.
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

// bounds is a closed range. A nil end is open.
type bounds struct {
	minimum, maximum value
}

// contain reports whether v is in the range.
func (b bounds) contain(v value) bool {
	return !(b.minimum != nil && number(v) < number(b.minimum)) &&
		!(b.maximum != nil && number(v) > number(b.maximum))
}

// String says what the range contains.
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
