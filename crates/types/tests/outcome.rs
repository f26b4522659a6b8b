//! Texts of outcome reasons.

use heatherhollow_types::FailureReason;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::UnknownReason;

// Guards against two reasons that share a text, which would add up in one counter.
#[test]
fn reason_texts_are_unique() {
    for &reason in RefusalReason::ALL {
        assert_eq!(reason.as_str().parse(), Ok(reason));
    }
    for &reason in UnknownReason::ALL {
        assert_eq!(reason.as_str().parse(), Ok(reason));
    }
    for &reason in FailureReason::ALL {
        assert_eq!(reason.as_str().parse(), Ok(reason));
    }
}
