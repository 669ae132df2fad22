package org.bramblerack.process.harm;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against different requests with equal fingerprints and equal requests with different ones. */
final class FingerprintTest {
    private static final byte[] NO_BODY = {};

    @Test
    void theSameRequestHasTheSameFingerprints() {
        assertThat(of("/a/b?x=1", "")).isEqualTo(of("/a/b?x=1", ""));
        assertThat(of("/a/b?x=1", "").all()).hasSize(2);
    }

    @Test
    void targetCredentialsAndBodyDistinguishRequests() {
        Fingerprints plain = of("/a/b", "");
        assertThat(plain.all()).hasSize(1);
        assertThat(of("/a/c", "").path()).isNotEqualTo(plain.path());
        assertThat(of("/a/b", "Token k").path()).isNotEqualTo(plain.path());
        assertThat(Fingerprints.of("GET", "h", "/a/b", "", new byte[] {1}).path())
                .isNotEqualTo(plain.path());
        assertThat(Fingerprints.of("GET", "h/a", "/b", "", NO_BODY).path()).isNotEqualTo(plain.path());
    }

    @Test
    void theQueryChangesOnlyTheExactFingerprint() {
        assertThat(of("/a/b?x=1", "").path()).isEqualTo(of("/a/b", "").path());
        assertThat(of("/a/b?x=1", "").exact()).isNotEqualTo(of("/a/b?x=2", "").exact());
    }

    @Test
    void isFormattedInHexadecimal() {
        assertThat(new Fingerprint(1, -1).toString()).isEqualTo("0000000000000001ffffffffffffffff");
    }

    private static Fingerprints of(String target, String credentials) {
        return Fingerprints.of("GET", "h", target, credentials, NO_BODY);
    }
}
