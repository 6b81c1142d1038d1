// Package tools pins the versions of the checks that CI runs. It is a module
// of its own so that the checks' dependencies stay out of the product's.
package tools
