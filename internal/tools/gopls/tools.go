// Package gopls pins the language server that developers use for renames. CI
// does not run it.
package gopls
