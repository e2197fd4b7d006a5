// Package review holds the cases of an independent review: days for the users' bench
// and scripts. See REPORT.md. Its harness is built with the tag "review" only, by
// build.sh, and is no part of the default build or test run.
package review
