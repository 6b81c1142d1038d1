// Package operator builds a deployment's configuration from typed values and
// prints it as YAML. It imports nothing of the servers.
package operator
