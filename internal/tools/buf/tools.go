// Package buf pins the compiler of proto/ that .ci/generate runs.
package buf
