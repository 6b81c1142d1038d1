// Package buf pins the version of buf, with which .ci/generate generates gen/
// from proto/.
package buf
