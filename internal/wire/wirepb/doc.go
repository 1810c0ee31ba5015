// Package wirepb is the generated code of endivespring.proto.
package wirepb
