// Package logline writes log events as one line of key=value pairs.
package logline

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes events of level l or higher to w.
func NewLogger(w io.Writer, l zerolog.Level) zerolog.Logger {
	// The library knows the form of times for the whole process only.
	zerolog.TimeFieldFormat = time.RFC3339Nano
	c := zerolog.ConsoleWriter{
		Out:                   w,
		NoColor:               true,
		TimeFormat:            time.RFC3339Nano,
		PartsOrder:            []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, "event"},
		FieldsExclude:         []string{"event"},
		FormatTimestamp:       pair("time"),
		FormatLevel:           pair("level"),
		FormatPartValueByName: func(v any, n string) string { return pair(n)(v) },
		FormatFieldName:       func(v any) string { return fmt.Sprintf("%s=", v) },
		FormatFieldValue:      value,
	}
	return zerolog.New(c).Level(l).With().Timestamp().Logger()
}

func pair(name string) zerolog.Formatter {
	return func(v any) string { return name + "=" + value(v) }
}

// value returns v, quoted if it is not a plain word.
func value(v any) string {
	s := fmt.Sprint(v)
	// Truth values and objects come as their JSON form.
	if b, ok := v.([]byte); ok {
		s = string(b)
	}
	// The console writer has quoted text that needs it already.
	if _, err := strconv.Unquote(s); err == nil && s[0] == '"' {
		return s
	}
	if s == "" || strings.ContainsAny(s, " \"=\n\t") {
		return strconv.Quote(s)
	}
	return s
}
