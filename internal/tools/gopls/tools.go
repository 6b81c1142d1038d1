// Package gopls pins the version of gopls, the Go language server, which
// developers use to rename identifiers. CI does not run it.
package gopls
