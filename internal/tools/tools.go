// Package tools pins the versions of the static analysis tools that CI runs. It
// is a separate module so that the dependencies of the tools do not become
// dependencies of the product.
package tools
